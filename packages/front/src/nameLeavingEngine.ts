import type { EngineTransport } from "@fulmarcleat/directory";
import { LEAVING_ENGINE_HEADER } from "@fulmarcleat/platform";

/**
 * Wraps the transport for a request that another host has handed to this one: an answer whose engine leaves names the
 * engine, so that the other host, which passes the answer on too, knows which one it is.
 *
 * @param transport - Transport to engines
 * @returns the transport that names them
 *
 * @example
 * const exchange = nameLeavingEngine(transport).send(req, sink);
 */
export function nameLeavingEngine(transport: Pick<EngineTransport, "send">): Pick<EngineTransport, "send"> {
    return {
        send: (req, sink) =>
            transport.send(req, {
                ...sink,
                head: head =>
                    sink.head(
                        head.notice?.isLeaving === true
                            ? { ...head, headers: [...head.headers, LEAVING_ENGINE_HEADER, req.target.id] }
                            : head,
                    ),
            }),
    };
}
