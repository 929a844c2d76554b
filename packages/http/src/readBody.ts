import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { IncomingMessage } from "node:http";

/** Limits of a request's body. */
export interface ReadBodyOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    readonly clock: Clock;
    /** Who sends the body, for errors. */
    readonly peer: "caller" | "operator";
}

/**
 * Reads a request's whole body.
 *
 * @param req - The request
 * @param options - Limits
 * @returns the body's bytes
 * @throws ServeError `unsupported_encoding`, `body_too_large`, `body_timeout`, or `caller_gone` where it broke off
 *
 * @example
 * const bytes = await readBody(req, { maxBytes, timeoutMs, clock, peer: "caller" });
 */
export function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const tooLarge = `the body is over ${options.maxBytes} bytes`;
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
        const onClose = (): void => fail("caller_gone", "the body broke off");
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
