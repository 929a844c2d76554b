import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { IncomingMessage } from "node:http";

/** Limits for reading a request's body. */
export interface ReadBodyOptions {
    /** Largest accepted body, in bytes. */
    readonly maxBytes: number;
    /** Longest time that the whole body may take to arrive, in milliseconds. */
    readonly timeoutMs: number;
    readonly clock: Clock;
    /** Sender of the body, as named in errors. */
    readonly peer: "caller" | "operator";
}

/**
 * Reads the whole body of a request into memory.
 *
 * @param req - Request whose body has not been read yet
 * @param options - Size and time limits, and the sender
 * @returns the body's bytes
 * @throws ServeError `unsupported_encoding`, `body_too_large`, `body_timeout`, or `caller_gone` on an early disconnect
 *
 * @example
 * const bytes = await readBody(req, { maxBytes, timeoutMs, clock, peer: "caller" });
 */
export function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const tooLarge = `the body is larger than ${options.maxBytes} bytes`;
        if ((req.headers["content-encoding"] ?? "identity") !== "identity") {
            reject(createError("unsupported_encoding", "the body must not be compressed", options));
            return;
        }
        if (Number(req.headers["content-length"] ?? 0) > options.maxBytes) {
            reject(createError("body_too_large", tooLarge, options));
            return;
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        const finish = (): void => {
            cancel();
            req.removeListener("data", onData);
            req.removeListener("end", onEnd);
            req.removeListener("close", onClose);
        };
        const fail = (code: ErrorCode, message: string): void => {
            finish();
            req.pause();
            reject(createError(code, message, options));
        };
        const onData = (chunk: Buffer): void => {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > options.maxBytes) {
                fail("body_too_large", tooLarge);
            }
        };
        const onEnd = (): void => {
            finish();
            resolve(Buffer.concat(chunks));
        };
        const onClose = (): void => fail("caller_gone", "the connection closed before the body was complete");
        const cancel = options.clock.setTimer(
            options.timeoutMs,
            () => fail("body_timeout", "the body did not arrive in time"),
        );
        req.on("data", onData);
        req.on("end", onEnd);
        req.on("close", onClose);
        req.on("error", () => undefined);
    });
}

function createError(code: ErrorCode, message: string, { peer }: ReadBodyOptions): ServeError {
    return new ServeError(message, { code, step: "read body", peer, outcome: "not_run" });
}
