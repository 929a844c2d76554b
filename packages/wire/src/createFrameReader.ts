import { ServeError } from "@fulmarcleat/errors";
import { decode } from "cbor-x";
import type { Frame } from "./frame.js";
import { LENGTH_BYTES, MAX_FRAME_BYTES } from "./frame.js";

/** Reads the next received bytes and returns the frames that they complete. */
export type FrameReader = (chunk: Buffer) => readonly Frame[];

/** Limits of a frame reader. */
export interface FrameReaderOptions {
    /** Maximum length of a frame's body, in bytes. */
    readonly maxBytes?: number;
}

/** Values of a frame's type field. */
const FRAME_TYPES: ReadonlySet<unknown> = new Set([
    "challenge",
    "proof",
    "welcome",
    "ask",
    "reply",
    "error",
    "ping",
    "pong",
]);

/**
 * Creates a reader that splits a byte stream into frames.
 *
 * @param options - Maximum frame length; 64 MiB by default
 * @returns the reader, which throws ServeError `frame_invalid` for an oversized or malformed frame
 *
 * @example
 * const reader = createFrameReader();
 * socket.on("data", chunk => reader(chunk).forEach(handleFrame));
 */
export function createFrameReader(options: FrameReaderOptions = {}): FrameReader {
    const maxBytes = options.maxBytes ?? MAX_FRAME_BYTES;
    let chunks: Buffer[] = [];
    let buffered = 0;
    let bodyLength: number | undefined;
    return chunk => {
        chunks.push(chunk);
        buffered += chunk.length;
        const frames: Frame[] = [];
        for (;;) {
            if (bodyLength === undefined && buffered >= LENGTH_BYTES) {
                bodyLength = checkLength(readHead(chunks).readUInt32BE(0), maxBytes);
            }
            if (bodyLength === undefined || buffered < LENGTH_BYTES + bodyLength) {
                return frames;
            }
            const all = Buffer.concat(chunks);
            frames.push(decodeFrame(all.subarray(LENGTH_BYTES, LENGTH_BYTES + bodyLength)));
            const rest = all.subarray(LENGTH_BYTES + bodyLength);
            chunks = rest.length === 0 ? [] : [rest];
            buffered = rest.length;
            bodyLength = undefined;
        }
    };
}

function readHead(chunks: readonly Buffer[]): Buffer {
    const first = chunks[0];
    return first !== undefined && first.length >= LENGTH_BYTES ? first : Buffer.concat(chunks);
}

function checkLength(length: number, maxBytes: number): number {
    if (length > maxBytes) {
        throw createError(`frame of ${length} bytes exceeds the limit of ${maxBytes}`);
    }
    return length;
}

function decodeFrame(bytes: Buffer): Frame {
    let value: unknown;
    try {
        value = decode(bytes);
    }
    catch (cause) {
        throw createError("frame body is not valid CBOR", cause);
    }
    if (typeof value !== "object" || value === null || !("t" in value) || !FRAME_TYPES.has(value.t)) {
        throw createError("frame type is missing or unknown");
    }
    return value as Frame;
}

function createError(message: string, cause?: unknown): ServeError {
    return new ServeError(message, {
        code: "frame_invalid",
        step: "read frame",
        peer: "unverified",
        outcome: "not_run",
        cause,
    });
}
