/**
 * Splits a byte stream into lines of text.
 *
 * @param bytes - The stream
 * @returns its lines that are not empty
 *
 * @example
 * for await (const line of splitLines(res.body)) { ... }
 */
export async function* splitLines(bytes: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of bytes) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        yield* lines.filter(line => line.trim() !== "");
    }
}
