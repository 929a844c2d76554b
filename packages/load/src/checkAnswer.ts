/** Result of one request: a complete answer, a typed error or a wrong answer. */
export type AnswerResult =
    | { readonly kind: "whole"; readonly tokens: number }
    | { readonly kind: "error"; readonly code: string; readonly outcome: string }
    | { readonly kind: "wrong"; readonly reason: string };

/** JSON payload of a stream event or of an error response. */
interface StreamEvent {
    readonly choices?: readonly { readonly text: string }[];
    readonly error?: { readonly code: string; readonly outcome: string };
}

/** Last event of a complete stream. */
const END_MARK = "data: [DONE]";

/**
 * Checks that a streamed answer of the engine stand-ins is complete: each token once, in order, from one model.
 *
 * @param model - Requested model, as `adapter@version`
 * @param tokens - Number of requested tokens
 * @param text - Complete text of the received body
 * @returns the result of the request
 *
 * @example
 * checkAnswer("levy@7", 2, text).kind; // "whole"
 */
export function checkAnswer(model: string, tokens: number, text: string): AnswerResult {
    if (!text.startsWith("data: ")) {
        return readError(text) ?? { kind: "wrong", reason: "neither a stream nor an error" };
    }
    const events = text.split("\n\n").filter(part => part !== "");
    const error = readError((events.at(-1) ?? "").slice("data: ".length));
    if (error !== undefined) {
        return error;
    }
    if (events.at(-1) !== END_MARK) {
        return { kind: "wrong", reason: "the answer has no end mark" };
    }
    const joined = events.slice(0, -1).map(readText).join("");
    const expected = Array.from({ length: tokens }, (unused, index) => `${model}:${index} `).join("");
    return joined === expected ? { kind: "whole", tokens } : { kind: "wrong", reason: "other tokens than asked for" };
}

function readError(text: string): AnswerResult | undefined {
    const { error } = parseEvent(text);
    return error === undefined ? undefined : { kind: "error", code: error.code, outcome: error.outcome };
}

function readText(event: string): string {
    return parseEvent(event.slice("data: ".length)).choices?.[0]?.text ?? "";
}

function parseEvent(text: string): StreamEvent {
    try {
        return JSON.parse(text) as StreamEvent;
    }
    catch {
        return {};
    }
}
