/** What became of one request. */
export type AnswerVerdict =
    | { readonly kind: "whole"; readonly tokens: number }
    | { readonly kind: "error"; readonly code: string; readonly outcome: string }
    | { readonly kind: "wrong"; readonly reason: string };

interface Event {
    readonly choices?: readonly { readonly text: string }[];
    readonly error?: { readonly code: string; readonly outcome: string };
}

const END = "data: [DONE]";

/**
 * Checks that a streamed answer of the engine stand-ins is whole and exact: each token once, in order, of one model.
 *
 * @param model - The model asked for
 * @param tokens - How many tokens were asked for
 * @param text - Everything received
 * @returns what became of the request
 *
 * @example
 * checkAnswer("levy@7", 2, text).kind; // "whole"
 */
export function checkAnswer(model: string, tokens: number, text: string): AnswerVerdict {
    if (!text.startsWith("data: ")) {
        return readError(text) ?? { kind: "wrong", reason: "neither a stream nor an error" };
    }
    const events = text.split("\n\n").filter(part => part !== "");
    const error = readError((events.at(-1) ?? "").slice("data: ".length));
    if (error !== undefined) {
        return error;
    }
    if (events.at(-1) !== END) {
        return { kind: "wrong", reason: "the answer has no end mark" };
    }
    const joined = events.slice(0, -1).map(readText).join("");
    const wanted = Array.from({ length: tokens }, (unused, index) => `${model}:${index} `).join("");
    return joined === wanted ? { kind: "whole", tokens } : { kind: "wrong", reason: "other tokens than asked for" };
}

function readError(text: string): AnswerVerdict | undefined {
    const { error } = parseEvent(text);
    return error === undefined ? undefined : { kind: "error", code: error.code, outcome: error.outcome };
}

function readText(event: string): string {
    return parseEvent(event.slice("data: ".length)).choices?.[0]?.text ?? "";
}

function parseEvent(text: string): Event {
    try {
        return JSON.parse(text) as Event;
    }
    catch {
        return {};
    }
}
