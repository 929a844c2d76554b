import { ServeError } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { IncomingMessage } from "node:http";

/** Limits of a request's body. */
export interface ReadBodyOptions {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    readonly clock: Clock;
}

/**
 * Reads a request's whole body.
 *
 * @param req - The request
 * @param options - Limits
 * @returns the body's bytes
 * @throws ServeError `body_too_large` or `body_timeout`
 *
 * @example
 * const bytes = await readBody(req, { maxBytes, timeoutMs, clock });
 */
export function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const fail = (code: "body_too_large" | "body_timeout" | "bad_request", message: string): void => {
            cancel();
            req.pause();
            req.removeAllListeners("data");
            reject(new ServeError(message, { code, step: "read body", peer: "operator", outcome: "not_run" }));
        };
        const cancel = options.clock.setTimer(
            options.timeoutMs,
            () => fail("body_timeout", "the body did not arrive in time"),
        );
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > options.maxBytes) {
                fail("body_too_large", `the body is over ${options.maxBytes} bytes`);
            }
        });
        req.on("end", () => {
            cancel();
            resolve(Buffer.concat(chunks));
        });
        req.on("error", () => fail("bad_request", "the body broke off"));
    });
}
