import type { EngineAnswerHead } from "@fulmarcleat/directory";
import { readHeader } from "./readHeader.js";

/**
 * Reads the media type of an answer.
 *
 * @param head - Head of the answer
 * @returns the type in lower case, without parameters; undefined if the answer states none
 *
 * @example
 * readMediaType({ ...head, headers: ["Content-Type", "text/event-stream; charset=utf-8"] }); // "text/event-stream"
 */
export function readMediaType({ headers }: Pick<EngineAnswerHead, "headers">): string | undefined {
    return readHeader(headers, "content-type")?.split(";")[0]?.trim().toLowerCase();
}
