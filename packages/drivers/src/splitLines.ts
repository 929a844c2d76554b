/**
 * Splits a byte stream into lines of text. An unterminated last line is dropped.
 *
 * @param bytes - UTF-8 text in chunks of any size
 * @returns the lines that are not blank
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
        yield* lines.filter(line => line.trim() !== "");
    }
}
