import { createMetrics } from "@fulmarcleat/events";
import type { EventFields, EventNumber, Metrics } from "@fulmarcleat/events";
import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createForwardServer } from "./createForwardServer.js";
import type { ForwardServer } from "./createForwardServer.js";
import type { ForwardMark } from "./forwardMark.js";

/** A request as the helping host's handler has received it. */
export interface HandledRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly mark: ForwardMark;
    readonly body: Buffer;
}

/** A running helping host. */
export interface ForwardHelper extends ForwardServer {
    readonly handled: readonly HandledRequest[];
    readonly events: readonly { readonly event: EventNumber; readonly fields: EventFields }[];
    readonly metrics: Metrics;
}

export const LOCAL = "127.0.0.1";
export const HELPER = brandId<HostId>("front-2");
export const PEER_KEY = "k".repeat(32);
/** Longer than any scenario, in milliseconds. */
const SERVER_IDLE_MS = 60_000;
const MAX_HEADER_BYTES = 65_536;

/**
 * Starts a forward server whose handler reads each request whole before it is served.
 *
 * @param serve - Serves a request
 * @returns the server and what it has received, logged and counted
 *
 * @example
 * const helper = await startForwardHelper(({ res }) => res.end());
 */
export async function startForwardHelper(serve: (handled: HandledRequest) => void): Promise<ForwardHelper> {
    const handled: HandledRequest[] = [];
    const events: { readonly event: EventNumber; readonly fields: EventFields }[] = [];
    const metrics = createMetrics();
    const server = await createForwardServer({
        host: HELPER,
        peerKey: PEER_KEY,
        listen: { host: LOCAL, port: 0 },
        metrics,
        log: { write: (level, event, fields = {}) => void events.push({ event, fields }) },
        maxHeaderBytes: MAX_HEADER_BYTES,
        idleMs: SERVER_IDLE_MS,
        handle(req, res, mark) {
            const chunks: Buffer[] = [];
            req.on("data", (chunk: Buffer) => chunks.push(chunk));
            req.on("end", () => {
                const next = { req, res, mark, body: Buffer.concat(chunks) };
                handled.push(next);
                serve(next);
            });
        },
    });
    return { ...server, handled, events, metrics };
}
