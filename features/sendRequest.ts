import type { SentRequest } from "./checkPromises.js";

/** One request of a fault run. */
export interface PlannedRequest {
    readonly prompt: string;
    readonly model: string;
    readonly tokens: number;
    readonly key: string | undefined;
    readonly stream: boolean;
}

interface ErrorBody {
    readonly error: { readonly outcome: string };
}

interface Choices {
    readonly choices: readonly { readonly text: string }[];
}

const DEADLINE_MS = "6000";
const END_MARK = "data: [DONE]";

/**
 * Sends one request and reads its whole answer.
 *
 * @param url - Address of a gateway
 * @param callerKey - The caller's bearer key
 * @param planned - What to ask
 * @returns the request with its answer; a connection that broke has status 0 and outcome `unknown`
 *
 * @example
 * const sent = await sendRequest(url, key, planned);
 */
export async function sendRequest(url: string, callerKey: string, planned: PlannedRequest): Promise<SentRequest> {
    const { prompt, model, tokens, key, stream } = planned;
    try {
        const res = await fetch(`${url}/v1/completions`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${callerKey}`,
                "fulmarcleat-deadline-ms": DEADLINE_MS,
                ...(key === undefined ? {} : { "idempotency-key": key }),
            },
            body: JSON.stringify({ model, prompt, max_tokens: tokens, stream }),
        });
        const body = await res.text();
        const request = { prompt, model, tokens, key };
        if (res.status !== 200) {
            return { ...request, status: res.status, outcome: (JSON.parse(body) as ErrorBody).error.outcome, text: "" };
        }
        return {
            ...request,
            ...(body.startsWith("data:") ? readEvents(body) : { status: 200, outcome: "ran", text: readText(body) }),
        };
    }
    catch {
        return { prompt, model, tokens, key, status: 0, outcome: "unknown", text: "" };
    }
}

function readText(body: string): string {
    return (JSON.parse(body) as Choices).choices[0]?.text ?? "";
}

function readEvents(body: string): Pick<SentRequest, "status" | "outcome" | "text"> {
    const events = body.split("\n\n").filter(event => event !== "");
    const bodies = events.filter(event => event !== END_MARK).map(event => event.slice("data: ".length));
    const last = bodies.at(-1) ?? "{}";
    if (last.startsWith('{"error"')) {
        return { status: 502, outcome: (JSON.parse(last) as ErrorBody).error.outcome, text: "" };
    }
    const text = bodies.map(readText).join("");
    return { status: 200, outcome: "ran", text: events.at(-1) === END_MARK ? text : `${text}(no end mark)` };
}
