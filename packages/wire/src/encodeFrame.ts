import { encode } from "cbor-x";
import type { Frame } from "./frame.js";
import { LENGTH_BYTES } from "./frame.js";

/**
 * Encodes a frame as CBOR, preceded by the length of the body.
 *
 * @param frame - Frame to encode
 * @returns the bytes to send
 *
 * @example
 * socket.write(encodeFrame({ t: "ping" }));
 */
export function encodeFrame(frame: Frame): Buffer {
    const body = encode(frame);
    const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    bytes.writeUInt32BE(body.length, 0);
    body.copy(bytes, LENGTH_BYTES);
    return bytes;
}
