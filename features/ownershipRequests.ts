import type { SentRequest } from "./checkPromises.js";
import type { FleetWorld } from "./fleetWorld.js";

/** The world of the steps on ownership. */
export interface OwnershipWorld extends FleetWorld {
    sent?: SentRequest[];
    /** Runs on all engines when a change came into force. */
    runsBefore?: number;
}

/** One request of the steps on ownership. */
export interface OwnershipRequest {
    readonly number: number;
    readonly adapter: string;
    readonly gateway: number;
    readonly tokens: number;
}

/** Time of a request besides its tokens, in milliseconds. */
const DEADLINE_MS = 8000;
/** Time of a token at a stand-in on a busy machine, in milliseconds; on an idle one it takes about 1. */
const TOKEN_MS = 50;

/** Sends a request and keeps what its caller got; nothing is kept where the connection broke. */
export async function sendOwnershipRequest(world: OwnershipWorld, request: OwnershipRequest): Promise<void> {
    const { tokens, gateway } = request;
    const prompt = `request ${request.number}`;
    const model = `${request.adapter}@1`;
    const answer = await world.call(gateway, "/v1/completions", {
        method: "POST",
        headers: {
            authorization: `Bearer ${world.keyOf("linz")}`,
            "fulmarcleat-deadline-ms": String(DEADLINE_MS + tokens * TOKEN_MS),
        },
        body: JSON.stringify({ model, prompt, max_tokens: tokens }),
    }).catch(() => undefined);
    if (answer === undefined) {
        return;
    }
    const outcome = answer.headers.get("fulmarcleat-outcome") ?? undefined;
    const text = answer.status === 200 ? readAnswer(answer.text) : answer.text;
    world.sent?.push({ prompt, model, tokens, key: undefined, status: answer.status, outcome, text });
}

function readAnswer(body: string): string {
    return (JSON.parse(body) as { choices: { text: string }[] }).choices[0]?.text ?? "";
}
