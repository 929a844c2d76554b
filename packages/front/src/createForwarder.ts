import { brandId } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";
import type { RequestProgress } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { EngineClosures } from "./createEngineClosures.js";
import type { ForwardTransport } from "./createForwardTransport.js";
import { SENDS_HEADER } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import { readHeader } from "./readHeader.js";
import { readRetryAfterMs } from "./readRetryAfterMs.js";
import type { ExchangeEvents, RunningExchange } from "./runWithTakeover.js";
import { buildRequest, startExchange } from "./startExchange.js";

/** Another host that a request may be handed to. */
export interface HelperTarget {
    readonly kind: "host";
    readonly member: Member;
    /** Where the stream began that the client has received a part of. */
    readonly origin: StreamOrigin | undefined;
}

/** What a host says that refuses a request as not run. */
export interface HelperRefusal {
    /** Time after which it would serve the request, in milliseconds; undefined if it doesn't say. */
    readonly readyInMs: number | undefined;
    /** How often the request may have reached an engine by then, at any host; undefined if it wasn't looked at. */
    readonly sends: number | undefined;
}

/** What a request has been through before it is handed to another host. */
export interface ForwardState {
    readonly progress: RequestProgress;
    /** Whether a retry budget counts the request already. */
    readonly isCounted: boolean;
    /** Called if the host refuses the request as not run. */
    readonly onRefused: (refusal: HelperRefusal) => void;
}

/** Hands clients' requests to other hosts. */
export interface Forwarder {
    /** Hands a request to another host; `onStart` is called before the client gets the first bytes of its answer. */
    send(
        request: ClientRequest,
        target: HelperTarget,
        state: ForwardState,
        events: ExchangeEvents,
        onStart: () => Promise<boolean> | undefined,
    ): RunningExchange;
}

/** Factor on the time for which a host may be silent: it first looks for another engine itself, after the same time. */
const SILENCE_FACTOR = 1.5;

/**
 * Creates the forwarder of requests to other hosts.
 *
 * @param context - Clock, log, metrics and this host's name
 * @param transport - Transport between hosts
 * @param closures - Told which engine says that it leaves in an answer that came through another host
 * @returns the forwarder
 *
 * @example
 * const forwarder = createForwarder(context, transport, closures);
 * const { result } = forwarder.send(request, { kind: "host", member, origin }, state, events, () => undefined);
 */
export function createForwarder(
    context: Pick<FrontContext, "clock" | "deployment" | "log" | "metrics">,
    transport: Pick<ForwardTransport, "send">,
    closures: Pick<EngineClosures, "recordNoticeOf">,
): Forwarder {
    const { clock, deployment, log, metrics } = context;
    return {
        send(request, { member, origin }, { progress, isCounted, onRefused }, events, onStart) {
            const sentMs = clock.nowMs();
            const { host, ip } = member;
            const target = { id: brandId<EngineId>(host), address: { ip, port: member.forwardPort ?? 0 } };
            const mark = {
                from: deployment.host,
                sends: progress.sends,
                ...(isCounted ? { isCounted: true as const } : {}),
                ...(request.account === undefined ? {} : { account: request.account.name }),
                tried: [...progress.tried],
                origin,
            };
            let refusal: HelperRefusal = { readyInMs: undefined, sends: undefined };
            request.times.sentMs = sentMs;
            log.write("info", 416, { id: request.requestId, host, sends: progress.sends });
            return startExchange(request, buildRequest(request, target, sentMs), {
                transport: { send: (req, sink) => transport.send(req, mark, sink) },
                clock,
                silenceFactor: SILENCE_FACTOR,
                events,
                onStart,
                onBytes: () => void (request.times.firstByteMs ??= clock.nowMs()),
                onHead({ headers, instance, notice }) {
                    refusal = { readyInMs: readRetryAfterMs(headers), sends: readSends(headers) };
                    if (notice !== undefined && instance !== undefined) {
                        closures.recordNoticeOf(instance, notice);
                    }
                },
                finish(result) {
                    metrics.count("forwards_total", { result: result.kind });
                    if (result.kind !== "not_run") {
                        return result;
                    }
                    onRefused(refusal);
                    return { kind: "unsent", reason: `${host} refused with ${result.status}` };
                },
            });
        },
    };
}

function readSends(headers: readonly string[]): number | undefined {
    const sends = Number(readHeader(headers, SENDS_HEADER));
    return Number.isInteger(sends) ? sends : undefined;
}
