import { brandId } from "@fulmarcleat/ids";
import type { InstanceName } from "@fulmarcleat/ids";
import type { EngineToken } from "./engineDriver.js";

/** Fields of one event of an engine's stream that the driver reads. */
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
 * Parses one event of an engine's stream. It validates without a schema, because it runs once for each token.
 *
 * @param id - Id of the event: the index of the piece, in decimal digits
 * @param data - Data of the event, as JSON
 * @returns the piece of the answer
 * @throws TypeError or SyntaxError if the event is not a valid piece of an answer
 *
 * @example
 * readToken("0", '{"model":"levy@7#1","choices":[{"text":"a"}]}').text; // "a"
 */
export function readToken(id: string, data: string): EngineToken {
    const { model, choices } = JSON.parse(data) as StreamChunk;
    const choice = choices?.[0];
    if (typeof model !== "string" || choice === undefined) {
        throw new TypeError("the event has no model or no choice");
    }
    const text = choice.text ?? choice.delta?.content ?? "";
    if (typeof text !== "string") {
        throw new TypeError("the event's text is not a string");
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
