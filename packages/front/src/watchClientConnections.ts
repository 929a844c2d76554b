import type { EventLog, Metrics } from "@fulmarcleat/events";
import { STATUS_CODES } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Log and counters of closed connections. */
export interface ClientConnectionContext {
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Statuses of responses to requests that can't be read, by the error's code. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** Status of the response to any other request that can't be read. */
const BAD_REQUEST = 400;
/** Prefixes of the codes of errors for which this host closes a connection; others come from the connection itself. */
const OWN_CODES = /^(HPE_|ERR_HTTP_)/;

/**
 * Counts and logs each connection of a client that the HTTP server closes by itself: an idle one, or one whose request
 * can't be read or takes too long to arrive. Keeps what Node.js does by default in these cases.
 *
 * @param server - The clients' HTTP server
 * @param context - Log and counters
 * @returns nothing
 *
 * @example
 * watchClientConnections(clients, { log, metrics });
 */
export function watchClientConnections(server: Server, { log, metrics }: ClientConnectionContext): void {
    const responses = new WeakMap<Duplex, ServerResponse>();
    const record = (socket: Duplex, reason: string): void => {
        const res = responses.get(socket);
        const isServing = res !== undefined && !res.writableFinished;
        metrics.count("client_closes_total", { reason, serving: String(isServing) });
        if (isServing || reason !== "idle") {
            log.write("warn", 415, { reason, isServing });
        }
    };
    server.on("request", (req, res) => void responses.set(req.socket, res));
    server.on("timeout", socket => {
        record(socket, "idle");
        socket.destroy();
    });
    server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
        const code = err.code ?? "unknown";
        if (!OWN_CODES.test(code)) {
            metrics.count("client_errors_total", { code });
            socket.destroy();
            return;
        }
        record(socket, code);
        const res = responses.get(socket);
        if (socket.writable && (res === undefined || res.writableFinished || !res.headersSent)) {
            const status = STATUS_BY_CODE[code] ?? BAD_REQUEST;
            metrics.count("denials_total", { status: String(status), reason: code });
            socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy();
    });
}
