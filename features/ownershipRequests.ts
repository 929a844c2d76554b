import type { SentRequest } from "./checkGuarantees.js";
import type { FleetWorld } from "./fleetWorld.js";

/** State shared by the steps on engine ownership. */
export interface OwnershipWorld extends FleetWorld {
    /** Requests sent so far, with their answers. */
    sentRequests?: SentRequest[];
    /** Number of runs on all engines when a configuration change took effect. */
    runsBefore?: number;
}

/** Describes one request of the steps on engine ownership. */
export interface OwnershipRequest {
    /** Identifies the request in the engines' records, through its prompt. */
    readonly number: number;
    readonly adapter: string;
    /** Gateway that receives the request, counted from 1. */
    readonly gateway: number;
    /** Number of tokens to generate. */
    readonly tokens: number;
}

/** Deadline of a request without the time for its tokens, in milliseconds. */
const BASE_DEADLINE_MS = 8000;
/** Deadline per token, in milliseconds; a stand-in takes about 1 ms on an idle machine, more on a busy one. */
const DEADLINE_PER_TOKEN_MS = 50;

/**
 * Sends a request and records its answer; an interrupted connection records nothing.
 *
 * @param world - Scenario whose fleet receives the request and whose `sentRequests` receives the answer
 * @param request - Request to send
 *
 * @example
 * await sendOwnershipRequest(world, { number: 1, adapter: "a1", gateway: 1, tokens: 8 });
 */
export async function sendOwnershipRequest(world: OwnershipWorld, request: OwnershipRequest): Promise<void> {
    const { tokens, gateway } = request;
    const prompt = `request ${request.number}`;
    const model = `${request.adapter}@1`;
    const answer = await world.call(gateway, "/v1/completions", {
        method: "POST",
        headers: {
            authorization: `Bearer ${world.formatCallerKey("linz")}`,
            "fulmarcleat-deadline-ms": String(BASE_DEADLINE_MS + tokens * DEADLINE_PER_TOKEN_MS),
        },
        body: JSON.stringify({ model, prompt, max_tokens: tokens }),
    }).catch(() => undefined);
    if (answer === undefined) {
        return;
    }
    const outcome = answer.headers.get("fulmarcleat-outcome") ?? undefined;
    const text = answer.status === 200 ? readCompletionText(answer.text) : answer.text;
    world.sentRequests?.push({ prompt, model, tokens, key: undefined, status: answer.status, outcome, text });
}

function readCompletionText(body: string): string {
    return (JSON.parse(body) as { choices: { text: string }[] }).choices[0]?.text ?? "";
}
