// Helpers of the stand-ins.

/**
 * Reads a whole body.
 *
 * @param stream - Request or response
 * @returns its bytes
 */
export async function readBody(stream) {
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * Sends a JSON answer.
 *
 * @param res - Response
 * @param status - HTTP status
 * @param body - Value to send
 */
export function sendJson(res, status, body) {
    const text = JSON.stringify(body);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/**
 * Waits.
 *
 * @param ms - Milliseconds
 * @returns a promise that resolves then
 */
export function sleep(ms) {
    return new Promise(resolve => void setTimeout(resolve, Math.max(0, ms)));
}
