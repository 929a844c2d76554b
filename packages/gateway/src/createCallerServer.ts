import { ServeError } from "@fulmarcleat/errors";
import { toErrorBody, toErrorStatus } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import { readTls } from "@fulmarcleat/settings";
import type { ListenSettings } from "@fulmarcleat/settings";
import { createServer } from "node:http";
import type { Server, ServerOptions } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { HttpHandler } from "./createCallerHandler.js";

/** Settings of the callers' listener. */
export interface CallerServerOptions {
    readonly listen: ListenSettings;
    readonly handler: HttpHandler;
    readonly metrics: Metrics;
    /** Longest time for a request's headers to arrive, in milliseconds. */
    readonly headersTimeoutMs: number;
}

/** The callers' listener. */
export interface CallerServer {
    readonly url: string;
    /** Keeps answering until every running answer has gone out, so that readiness shows, and closes then. */
    close(): Promise<void>;
}

const CHECK_CONNECTIONS_MS = 200;
const CHECK_RUNNING_MS = 20;
const CLOSE_IDLE_MS = 50;
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Starts the callers' listener, by TLS where the settings name a certificate.
 *
 * @param options - Address, handler and limits
 * @returns the listener
 * @throws ServeError `settings_invalid` where the certificate can't be read
 *
 * @example
 * const server = await createCallerServer({ listen: cfg.callers, handler, metrics, headersTimeoutMs: 10_000 });
 */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
    const { host, port } = options.listen;
    const tls = await readTls(options.listen.tls);
    const limits: ServerOptions = {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: options.headersTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(CHECK_CONNECTIONS_MS, options.headersTimeoutMs),
    };
    const server: Server = tls === undefined
        ? createServer(limits, options.handler)
        : createTlsServer({ ...limits, ...tls }, options.handler);
    let running = 0;
    server.on("request", (req, res) => {
        running += 1;
        res.once("close", () => running -= 1);
    });
    server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => refuse(err, socket, options.metrics));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });
    const address = server.address() as AddressInfo;
    return {
        url: `${tls === undefined ? "http" : "https"}://${host}:${address.port}`,
        async close() {
            while (running > 0) {
                await wait(CHECK_RUNNING_MS);
            }
            await closeServer(server);
        },
    };
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => server.closeIdleConnections(), CLOSE_IDLE_MS);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
        server.closeIdleConnections();
    });
}

/** Answers bytes that are no request, or whose headers do not come, in the same form as every other error. */
function refuse(err: NodeJS.ErrnoException, socket: Socket, metrics: Metrics): void {
    if (!socket.writable || err.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const [code, message] = describeClientError(err);
    metrics.count("refusals_total", { reason: code, outcome: "not_run" });
    const body = JSON.stringify(
        toErrorBody(new ServeError(message, { code, step: "read headers", peer: "caller", outcome: "not_run" }), ""),
    );
    socket.end(
        [
            `HTTP/1.1 ${toErrorStatus(code)} Refused`,
            "content-type: application/json",
            `content-length: ${Buffer.byteLength(body)}`,
            "fulmarcleat-outcome: not_run",
            "connection: close",
            "",
            body,
        ].join("\r\n"),
    );
}

function describeClientError(err: NodeJS.ErrnoException): readonly [ErrorCode, string] {
    switch (err.code) {
        case "HPE_HEADER_OVERFLOW":
            return ["headers_too_large", `the headers are over ${MAX_HEADER_BYTES} bytes`];
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return ["headers_timeout", "the headers did not arrive in time"];
        default:
            return ["bad_request", "the bytes received are not an HTTP request"];
    }
}
