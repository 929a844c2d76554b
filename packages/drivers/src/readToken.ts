import { brandId } from "@fulmarcleat/ids";
import type { InstanceName } from "@fulmarcleat/ids";
import type { EngineToken } from "./engineDriver.js";

/** One event of an engine's stream, as far as it is used. */
interface StreamChunk {
    readonly model?: unknown;
    readonly choices?: readonly StreamChoice[];
}

interface StreamChoice {
    readonly text?: unknown;
    readonly delta?: { readonly content?: unknown };
    readonly finish_reason?: unknown;
}

/**
 * Reads one event of an engine's stream; it is checked by hand, because it runs once for each token.
 *
 * @param id - The event's id: the index of the piece
 * @param data - The event's JSON
 * @returns the piece of the answer
 * @throws TypeError or SyntaxError where the event is no piece of an answer
 *
 * @example
 * readToken("0", '{"model":"levy@7#1","choices":[{"text":"a"}]}').text; // "a"
 */
export function readToken(id: string, data: string): EngineToken {
    const { model, choices } = JSON.parse(data) as StreamChunk;
    const choice = choices?.[0];
    if (typeof model !== "string" || choice === undefined) {
        throw new TypeError("the event names no model or holds no choice");
    }
    const text = choice.text ?? choice.delta?.content ?? "";
    if (typeof text !== "string") {
        throw new TypeError("the event's text is no text");
    }
    return {
        index: Number(id),
        text,
        instance: brandId<InstanceName>(model),
        finishReason: readFinishReason(choice.finish_reason),
    };
}

function readFinishReason(reason: unknown): EngineToken["finishReason"] {
    if (reason === "stop" || reason === "length") {
        return reason;
    }
    if (reason === undefined || reason === null) {
        return undefined;
    }
    throw new TypeError("the event's finish_reason is unknown");
}
