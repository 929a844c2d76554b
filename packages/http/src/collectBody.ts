import type { Readable } from "node:stream";

/** Thrown for a body that is larger than its reader allows. */
export class BodyTooLargeError extends Error {
    constructor(maxBytes: number) {
        super(`the body is larger than ${maxBytes} bytes`);
        this.name = "BodyTooLargeError";
    }
}

/**
 * Reads the whole body of a response into memory. A body that is too large is destroyed, and its connection with it.
 *
 * @param body - Body that has not been read yet
 * @param maxBytes - Largest accepted body, in bytes
 * @param onBytes - Called whenever bytes arrive
 * @returns the body's bytes
 * @throws BodyTooLargeError, or the error of the connection
 *
 * @example
 * const bytes = await collectBody(res.body, 65_536);
 */
export async function collectBody(
    body: Readable,
    maxBytes: number,
    onBytes: (chunk: Buffer) => void = () => undefined,
): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    // Leaving the loop destroys the body.
    for await (const chunk of body as AsyncIterable<Buffer>) {
        onBytes(chunk);
        length += chunk.length;
        if (length > maxBytes) {
            throw new BodyTooLargeError(maxBytes);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
