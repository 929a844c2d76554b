import type { AnswerSink, EngineAnswerHead, EngineExchange, EngineRequest, EngineTarget } from "@fulmarcleat/directory";
import { createHttpTransport } from "@fulmarcleat/http";
import type { ConnectionPoolOptions } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { buildRequestHeaders, LEAVING_ENGINE_HEADER, OUTCOME_HEADER, parseAnswerHead } from "@fulmarcleat/platform";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark } from "./forwardMark.js";
import { readHeader } from "./readHeader.js";
import { removeHeaders } from "./removeHeaders.js";
import { signForwardMark } from "./signForwardMark.js";

/** Key, timeouts and limits of a forward transport. */
export interface ForwardTransportOptions extends ConnectionPoolOptions {
    /** Returns the key that all hosts share; undefined until it is known. */
    readonly readPeerKey: () => string | undefined;
}

/** Hands clients' requests to other hosts. */
export interface ForwardTransport {
    /** Sends a request; the id of its target is the name of the host that is to serve it. */
    send(req: EngineRequest, mark: ForwardMark, sink: AnswerSink): EngineExchange;
    /** Closes the connections kept open to a host that is gone. */
    forget(target: EngineTarget): void;
    close(): void;
}

/** A request with what its headers state to the other host. */
interface MarkedRequest extends EngineRequest {
    readonly peerKey: string;
    readonly mark: ForwardMark;
}

/**
 * Creates the transport that hands clients' requests to other hosts. An engine's answer arrives as if the engine had
 * sent it here. In a refusal of the other host, `isNotRun` says whether the request did not run and never will.
 *
 * @param options - Key, timeouts and limits of the connection pools
 * @returns the transport
 *
 * @example
 * const forward = createForwardTransport({ readPeerKey, connectTimeoutMs: 250, idleMs: 4000, idleConnections: 12 });
 */
export function createForwardTransport(options: ForwardTransportOptions): ForwardTransport {
    const transport = createHttpTransport<MarkedRequest>(options, { buildHeaders, parseHead });
    return {
        send(req, mark, sink) {
            const peerKey = options.readPeerKey();
            return peerKey === undefined
                ? failUnsent(sink, "the key of the hosts is not known yet")
                : transport.send({ ...req, peerKey, mark }, sink);
        },
        forget: target => transport.forget(target),
        close: () => transport.close(),
    };
}

/** Fails an exchange, after the caller has received it. */
function failUnsent(sink: AnswerSink, reason: string): EngineExchange {
    let isCancelled = false;
    queueMicrotask(() => {
        if (!isCancelled) {
            sink.fail({ kind: "unsent", reason });
        }
    });
    return {
        cancel() {
            isCancelled = true;
        },
        resume: () => undefined,
    };
}

function buildHeaders(req: MarkedRequest): readonly string[] {
    const { method, path, requestId } = req;
    return [
        ...removeHeaders(buildRequestHeaders(req), [MARK_HEADER, MARK_MAC_HEADER]),
        ...signForwardMark(req.peerKey, { host: req.target.id, method, path, requestId }, req.mark),
    ];
}

/**
 * Decodes an answer's head; what it says of an engine's load, limit or pause is not of the host that was asked. An
 * engine that says that it leaves is named as the instance.
 */
function parseHead(status: number, rawHeaders: readonly string[], req: EngineRequest): EngineAnswerHead {
    const outcome = readHeader(rawHeaders, OUTCOME_HEADER);
    const leaving = readHeader(rawHeaders, LEAVING_ENGINE_HEADER);
    const head = parseAnswerHead(status, rawHeaders);
    return {
        ...head,
        requestId: outcome === undefined ? head.requestId : req.requestId,
        isNotRun: outcome === "not_run",
        load: undefined,
        limit: { kind: "none" },
        instance: leaving === undefined ? undefined : brandId<EngineId>(leaving),
        notice: leaving === undefined ? undefined : { isLeaving: true, pause: undefined },
    };
}
