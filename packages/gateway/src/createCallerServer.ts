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

/** Options of the callers' HTTP server. */
export interface CallerServerOptions {
    readonly listen: ListenSettings;
    readonly handler: HttpHandler;
    readonly metrics: Metrics;
    /** Maximum time to receive a request's headers, in milliseconds. */
    readonly headersTimeoutMs: number;
}

/** The callers' HTTP server. */
export interface CallerServer {
    /** Base URL of the listener. */
    readonly url: string;
    /** Closes the server when no request is running; until then it serves new ones, such as readiness probes. */
    close(): Promise<void>;
}

/** Maximum interval between two checks for expired header timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 200;
/** Interval between two checks for running requests during a stop, in milliseconds. */
const DRAIN_POLL_MS = 20;
/** Interval at which idle connections are closed during a stop, in milliseconds. */
const CLOSE_IDLE_INTERVAL_MS = 50;
/** Maximum size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Starts the callers' HTTP server, with TLS if the settings name a certificate.
 *
 * @param options - Listen address, request handler, metrics and header timeout
 * @returns the listening server
 * @throws ServeError `settings_invalid` if the certificate can't be read
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
        connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, options.headersTimeoutMs),
    };
    const server: Server = tls === undefined
        ? createServer(limits, options.handler)
        : createTlsServer({ ...limits, ...tls }, options.handler);
    let activeRequests = 0;
    server.on("request", (req, res) => {
        activeRequests += 1;
        res.once("close", () => activeRequests -= 1);
    });
    server.on(
        "clientError",
        (err: NodeJS.ErrnoException, socket: Socket) => rejectClientError(err, socket, options.metrics),
    );
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });
    const address = server.address() as AddressInfo;
    return {
        url: `${tls === undefined ? "http" : "https"}://${host}:${address.port}`,
        async close() {
            while (activeRequests > 0) {
                await wait(DRAIN_POLL_MS);
            }
            await closeServer(server);
        },
    };
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => server.closeIdleConnections(), CLOSE_IDLE_INTERVAL_MS);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
        server.closeIdleConnections();
    });
}

/** Responds to malformed requests and header timeouts with the same error body as other failures. */
function rejectClientError(err: NodeJS.ErrnoException, socket: Socket, metrics: Metrics): void {
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
            return ["headers_too_large", `the request headers exceed ${MAX_HEADER_BYTES} bytes`];
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return ["headers_timeout", "the request headers did not arrive in time"];
        default:
            return ["bad_request", "the bytes received are not an HTTP request"];
    }
}
