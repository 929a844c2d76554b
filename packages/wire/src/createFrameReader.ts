import { ServeError } from "@fulmarcleat/errors";
import { decode } from "cbor-x";
import type { Frame } from "./frame.js";
import { LENGTH_BYTES, MAX_FRAME_BYTES } from "./frame.js";

/** Turns received bytes into frames. */
export type FrameReader = (chunk: Buffer) => readonly Frame[];

/** Limits of a frame reader. */
export interface FrameReaderOptions {
    /** Largest frame accepted, in bytes. */
    readonly maxBytes?: number;
}

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
 * @param options - Limits
 * @returns the reader; it throws ServeError `frame_invalid` on bytes that are no frame
 *
 * @example
 * socket.on("data", chunk => reader(chunk).forEach(handle));
 */
export function createFrameReader(options: FrameReaderOptions = {}): FrameReader {
    const maxBytes = options.maxBytes ?? MAX_FRAME_BYTES;
    let chunks: Buffer[] = [];
    let buffered = 0;
    let wanted: number | undefined;
    return chunk => {
        chunks.push(chunk);
        buffered += chunk.length;
        const frames: Frame[] = [];
        for (;;) {
            if (wanted === undefined && buffered >= LENGTH_BYTES) {
                wanted = checkLength(peek(chunks).readUInt32BE(0), maxBytes);
            }
            if (wanted === undefined || buffered < LENGTH_BYTES + wanted) {
                return frames;
            }
            const all = Buffer.concat(chunks);
            frames.push(decodeFrame(all.subarray(LENGTH_BYTES, LENGTH_BYTES + wanted)));
            const rest = all.subarray(LENGTH_BYTES + wanted);
            chunks = rest.length === 0 ? [] : [rest];
            buffered = rest.length;
            wanted = undefined;
        }
    };
}

function peek(chunks: readonly Buffer[]): Buffer {
    const first = chunks[0];
    return first !== undefined && first.length >= LENGTH_BYTES ? first : Buffer.concat(chunks);
}

function checkLength(length: number, maxBytes: number): number {
    if (length > maxBytes) {
        throw createError(`a frame of ${length} bytes is over the limit of ${maxBytes}`);
    }
    return length;
}

function decodeFrame(bytes: Buffer): Frame {
    let value: unknown;
    try {
        value = decode(bytes);
    }
    catch (cause) {
        throw createError("a frame is not CBOR", cause);
    }
    if (typeof value !== "object" || value === null || !("t" in value) || !FRAME_TYPES.has(value.t)) {
        throw createError("a frame has no known type");
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
