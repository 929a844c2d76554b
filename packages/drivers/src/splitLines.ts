import { BodyTooLargeError } from "@fulmarcleat/http";

/** Longest line, in characters. */
const MAX_LINE_LENGTH = 4_194_304;

/**
 * Splits a byte stream into lines of text. An unterminated last line is dropped.
 *
 * @param bytes - UTF-8 text in chunks of any size
 * @returns the lines that are not blank
 * @throws BodyTooLargeError for a line without end
 *
 * @example
 * for await (const line of splitLines(res.body)) { ... }
 */
export async function* splitLines(bytes: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let partialLine = "";
    for await (const chunk of bytes) {
        const lines = (partialLine + decoder.decode(chunk, { stream: true })).split("\n");
        partialLine = lines.pop() ?? "";
        if (partialLine.length > MAX_LINE_LENGTH) {
            throw new BodyTooLargeError(MAX_LINE_LENGTH);
        }
        yield* lines.filter(line => line.trim() !== "");
    }
}
