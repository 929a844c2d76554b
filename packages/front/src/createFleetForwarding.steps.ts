import type { AnswerSink, EngineAnswerHead, EngineRequest } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { Clock, HostId, RequestId } from "@fulmarcleat/ids";
import type { ServerResponse } from "node:http";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { FleetPeers } from "./createFleetPeers.steps.js";
import type { ForwardTransport } from "./createForwardTransport.js";
import { SENDS_HEADER } from "./forwardMark.js";
import type { ForwardMark } from "./forwardMark.js";
import { createAnswerRelay } from "./relayAnswer.js";

/** The hosts' path for requests, and the requests that clients have sent. */
export interface FleetForwardingOptions {
    readonly clock: Clock;
    readonly forward: FleetPeers["forward"];
    readonly clientRequests: ReadonlyMap<RequestId, ClientRequest>;
}

/** Time after its deadline at which a host aborts a request, in milliseconds. */
const DEADLINE_GRACE_MS = 80;
const MS_PER_S = 1000;
const STATUS = { refused: 503, badGateway: 502 } as const;

/**
 * Creates a host's transport for requests that it hands to other hosts of a fleet in memory. What the other host does
 * with its response is what arrives here.
 *
 * @param from - The host
 * @param options - Clock, path between hosts and clients' requests
 * @returns the transport
 *
 * @example
 * const transport = createFleetForwarding(host, { clock, forward: peers.forward, clientRequests });
 */
export function createFleetForwarding(
    from: HostId,
    { clock, forward, clientRequests }: FleetForwardingOptions,
): Pick<ForwardTransport, "send"> {
    return {
        send(req, mark, sink) {
            const original = clientRequests.get(req.requestId);
            const controller = new AbortController();
            if (original === undefined) {
                throw new Error(`no client has sent ${req.requestId}`);
            }
            const request = receive(req, mark, original, { clock, sink, signal: controller.signal });
            const cancelDeadline = clock.setTimer(req.deadlineMs + DEADLINE_GRACE_MS, () => controller.abort());
            forward(from, brandId<HostId>(req.target.id), request).then(
                end => answer(req, end, request, sink),
                () => sink.fail({ kind: "unsent", reason: "ECONNREFUSED" }),
            ).finally(cancelDeadline);
            return { cancel: () => controller.abort(), resume: () => undefined };
        },
    };
}

/** What a request is received with. */
interface Reception {
    readonly clock: Clock;
    readonly sink: AnswerSink;
    readonly signal: AbortSignal;
}

function receive(
    req: EngineRequest,
    mark: ForwardMark,
    original: ClientRequest,
    { clock, sink, signal }: Reception,
): ClientRequest {
    const nowMs = clock.nowMs();
    const res = {
        writeHead: (status: number) => sink.head(createHead(req, status, false)),
        write: (bytes: Buffer) => sink.piece(bytes),
        end: () => sink.end(),
        destroy: () => sink.fail({ kind: "broken", reason: "UND_ERR_SOCKET" }),
    } as unknown as ServerResponse;
    return {
        ...original,
        res,
        mark,
        signal,
        head: { ...original.head, lastEventId: req.lastEventId },
        startedMs: nowMs,
        deadlineAtMs: nowMs + req.deadlineMs,
        endsBeforeStop: () => true,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: original.relay && createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
    };
}

/** Sends what the other host sends at the end of a request, unless the answer has been relayed. */
function answer(req: EngineRequest, end: RequestEnd, request: ClientRequest, sink: AnswerSink): void {
    switch (end.kind) {
        case "relayed":
            return;
        case "answer":
            sink.head(end.result.head);
            sink.piece(end.result.body);
            sink.end();
            return;
        case "gave_up":
            if (request.relay?.hasStarted === true) {
                request.relay.abort();
                return;
            }
            sink.head({
                ...createHead(req, end.outcome === "not_run" ? STATUS.refused : STATUS.badGateway, true),
                isNotRun: end.outcome === "not_run",
                headers: ["Retry-After", String(end.readyInMs / MS_PER_S), SENDS_HEADER, String(end.sends)],
            });
            sink.end();
            return;
    }
}

function createHead({ requestId }: EngineRequest, status: number, isWhole: boolean): EngineAnswerHead {
    return {
        status,
        framing: isWhole ? "length" : "chunks",
        headers: [],
        requestId,
        isNotRun: false,
        load: undefined,
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    };
}
