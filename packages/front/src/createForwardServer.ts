import type { EventLog, Metrics } from "@fulmarcleat/events";
import { listen } from "@fulmarcleat/http";
import type { HostId } from "@fulmarcleat/ids";
import { OUTCOME_HEADER } from "@fulmarcleat/platform";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark } from "./forwardMark.js";
import { readHeader } from "./readHeader.js";
import { removeHeaders } from "./removeHeaders.js";
import { verifyForwardMark } from "./verifyForwardMark.js";

/** Identity, key, address, limits and dependencies of a forward server. */
export interface ForwardServerOptions {
    /** Name of this host. */
    readonly host: HostId;
    /** Key shared by all hosts. */
    readonly peerKey: string;
    /** Address and port to listen on; port 0 selects a free port. */
    readonly listen: { readonly host: string; readonly port: number };
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Largest head of a client's request that other hosts accept, in bytes. */
    readonly maxHeaderBytes: number;
    /** Time after which an idle connection is closed, in milliseconds; longer than at the hosts that open them. */
    readonly idleMs: number;
    /** Serves a request that another host has handed to this one; its headers are without the mark. */
    readonly handle: (req: IncomingMessage, res: ServerResponse, mark: ForwardMark) => void;
}

/** A running listener for other hosts' requests. */
export interface ForwardServer {
    readonly port: number;
    /** Stops listening and closes all connections. */
    close(): Promise<void>;
}

/** Room in a request's head for the mark and what the sending host adds, in bytes. */
const MAX_ADDED_BYTES = 16_384;
const MARK_HEADERS = [MARK_HEADER, MARK_MAC_HEADER];
/** Status of the refusal of a request without a valid mark. */
const FORBIDDEN = 403;

/**
 * Listens for clients' requests that other hosts hand to this one. Requests without a valid mark are refused before
 * anything else of them is read.
 *
 * @param options - Identity, key, address, limits and dependencies
 * @returns the running listener
 *
 * @example
 * const server = await createForwardServer({ host, peerKey, listen, metrics, log, maxHeaderBytes, idleMs, handle });
 */
export async function createForwardServer(options: ForwardServerOptions): Promise<ForwardServer> {
    const server = createServer({
        maxHeaderSize: options.maxHeaderBytes + MAX_ADDED_BYTES,
        keepAliveTimeout: options.idleMs,
        requestTimeout: 0,
        noDelay: true,
    });
    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        const scope = { host: options.host, method: req.method ?? "", path: req.url ?? "" };
        const mark = verifyForwardMark(options.peerKey, scope, req.rawHeaders);
        if (mark === undefined) {
            refuse(req, res, options);
            return;
        }
        removeMark(req);
        options.handle(req, res, mark);
    });
    const port = await listen(server, options.listen);
    return {
        port,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function refuse(req: IncomingMessage, res: ServerResponse, { log, metrics }: ForwardServerOptions): void {
    const reason = readHeader(req.rawHeaders, MARK_HEADER) === undefined ? "no_mark" : "bad_mark";
    metrics.count("forward_refusals_total", { reason });
    log.write("warn", 414, { reason, from: req.socket.remoteAddress, id: readHeader(req.rawHeaders, "request-id") });
    res.writeHead(FORBIDDEN, { "content-length": 0, "connection": "close", [OUTCOME_HEADER]: "not_run" });
    res.end();
}

/** Removes the mark from a request, last from `rawHeaders`, which Node.js reads the others from at their first use. */
function removeMark(req: IncomingMessage): void {
    [req.headers, req.headersDistinct].forEach(headers => MARK_HEADERS.forEach(name => delete headers[name]));
    req.rawHeaders = [...removeHeaders(req.rawHeaders, MARK_HEADERS)];
}
