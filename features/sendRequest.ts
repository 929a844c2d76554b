import type { SentRequest } from "./checkGuarantees.js";

/** Describes one request of a fault run. */
export interface PlannedRequest {
    /** Unique text that identifies the request in the engines' records. */
    readonly prompt: string;
    /** Adapter and version, such as `levy@7`. */
    readonly model: string;
    /** Number of tokens to generate. */
    readonly tokens: number;
    /** Idempotency key. */
    readonly key: string | undefined;
    /** Whether the answer is streamed. */
    readonly stream: boolean;
}

interface ErrorBody {
    readonly error: { readonly outcome: string };
}

interface CompletionBody {
    readonly choices: readonly { readonly text: string }[];
}

/** Deadline of each request, in milliseconds, as sent in the header. */
const DEADLINE_MS = "6000";
const END_OF_STREAM = "data: [DONE]";

/**
 * Sends one request to a gateway and reads the complete answer.
 *
 * @param url - Base URL of the gateway
 * @param callerKey - Bearer key of the caller
 * @param planned - Prompt, model and options of the request
 * @returns the request with its answer; an interrupted connection gives status 0 and outcome `unknown`
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
            ...(body.startsWith("data:")
                ? readEventStream(body)
                : { status: 200, outcome: "ran", text: readText(body) }),
        };
    }
    catch {
        return { prompt, model, tokens, key, status: 0, outcome: "unknown", text: "" };
    }
}

function readText(body: string): string {
    return (JSON.parse(body) as CompletionBody).choices[0]?.text ?? "";
}

function readEventStream(body: string): Pick<SentRequest, "status" | "outcome" | "text"> {
    const events = body.split("\n\n").filter(event => event !== "");
    const bodies = events.filter(event => event !== END_OF_STREAM).map(event => event.slice("data: ".length));
    const last = bodies.at(-1) ?? "{}";
    if (last.startsWith('{"error"')) {
        return { status: 502, outcome: (JSON.parse(last) as ErrorBody).error.outcome, text: "" };
    }
    const text = bodies.map(readText).join("");
    return { status: 200, outcome: "ran", text: events.at(-1) === END_OF_STREAM ? text : `${text}(no end mark)` };
}
