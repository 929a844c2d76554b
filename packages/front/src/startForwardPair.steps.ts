import type { AnswerSink, EngineAnswerHead, EngineExchange, EngineRequest } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId, RequestId } from "@fulmarcleat/ids";
import { strictEqual } from "@fulmarcleat/testing";
import { createForwardTransport } from "./createForwardTransport.js";
import type { ForwardMark } from "./forwardMark.js";
import { HELPER, LOCAL, PEER_KEY, startForwardHelper } from "./startForwardHelper.steps.js";
import type { ForwardHelper, HandledRequest } from "./startForwardHelper.steps.js";

/** A request that one host has handed to another, and what has arrived of its answer. */
export interface Handover {
    readonly request: EngineRequest;
    head: EngineAnswerHead | undefined;
    readonly pieces: Buffer[];
    end: string | undefined;
    exchange: EngineExchange | undefined;
    /** Resolves when the exchange has ended or been cancelled. */
    readonly done: Promise<void>;
    cancel(): void;
}

/** Changes to a request and callbacks while its answer arrives. */
export interface HandoverOptions extends Partial<EngineRequest> {
    /** Called after the head. */
    readonly onHead?: (handover: Handover) => void;
    /** Called after each part of the body; false pauses. */
    readonly onPiece?: (handover: Handover) => boolean;
}

/** Two hosts, of which one hands requests to the other. */
export interface ForwardPair {
    readonly helper: ForwardHelper;
    handOver(options?: HandoverOptions): Handover;
    /** Builds the request that `handOver` hands over. */
    buildRequest(): EngineRequest;
    /** Hands a request over as `handOver` does, to a listener of one's own. */
    send(req: EngineRequest, sink: AnswerSink): EngineExchange;
    close(): Promise<void>;
}

export const MARK: ForwardMark = {
    from: brandId<HostId>("front-1"),
    sends: 1,
    tried: [brandId<EngineId>("i-1")],
    origin: { service: brandId("chat"), softwareVersion: brandId("4.1") },
};
export const CLIENT_HEADERS = ["host", "a.example", "Request-Id", "r1", "X-Multi", "1", "x-multi", "2", "Model", "m/a"];
export const CLIENT_PATH = "/a/b%20c?d=%C3%A9&e=%2F";
const TIMEOUTS = { connectTimeoutMs: 1000, idleMs: 4000, idleConnections: 40 };

/**
 * Starts a helping host and the transport of a host that hands requests to it.
 *
 * @param serve - Serves a request at the helping host
 * @param readPeerKey - Returns the key of the host that hands requests over
 * @returns both hosts
 *
 * @example
 * const pair = await startForwardPair(({ res }) => res.end());
 * await pair.handOver({ path: "/a" }).done;
 */
export async function startForwardPair(
    serve: (handled: HandledRequest) => void,
    readPeerKey: () => string | undefined = () => PEER_KEY,
): Promise<ForwardPair> {
    const helper = await startForwardHelper(serve);
    const transport = createForwardTransport({ ...TIMEOUTS, readPeerKey });
    return {
        helper,
        buildRequest: () => buildRequest(helper.port),
        send: (req, sink) => transport.send(req, MARK, sink),
        handOver({ onHead, onPiece, ...changes } = {}) {
            let resolveDone: () => void = () => undefined;
            const handover: Handover = {
                request: { ...buildRequest(helper.port), ...changes },
                head: undefined,
                pieces: [],
                end: undefined,
                exchange: undefined,
                done: new Promise(resolve => {
                    resolveDone = resolve;
                }),
                cancel() {
                    handover.exchange?.cancel();
                    resolveDone();
                },
            };
            const finish = (end: string): void => {
                strictEqual(handover.end, undefined, "an exchange ended twice");
                handover.end = end;
                resolveDone();
            };
            handover.exchange = transport.send(handover.request, MARK, {
                head(head) {
                    handover.head = head;
                    onHead?.(handover);
                },
                piece(bytes) {
                    handover.pieces.push(Buffer.from(bytes));
                    return onPiece?.(handover) ?? true;
                },
                end: () => finish("end"),
                fail: failure => finish(failure.kind),
            });
            return handover;
        },
        async close() {
            transport.close();
            await helper.close();
        },
    };
}

function buildRequest(port: number): EngineRequest {
    return {
        target: { id: brandId<EngineId>(HELPER), address: { ip: LOCAL, port } },
        requestId: brandId<RequestId>("r1"),
        method: "GET",
        path: CLIENT_PATH,
        headers: CLIENT_HEADERS,
        body: Buffer.alloc(0),
        deadlineMs: 5000,
        account: undefined,
        urgency: 3,
        version: 2,
        lastEventId: undefined,
    };
}
