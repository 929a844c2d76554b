import type { EngineAnswerHead, EngineRequest, EngineTarget, EngineTransport } from "@fulmarcleat/directory";
import { chooseSilenceLimit } from "@fulmarcleat/dispatch";
import type { Clock } from "@fulmarcleat/ids";
import type { ClientRequest } from "./clientRequest.js";
import { runExchange } from "./runExchange.js";
import type { ExchangeResult } from "./runExchange.js";
import type { ExchangeEvents, RunningExchange } from "./runWithTakeover.js";

/** Transport and listeners of an exchange for a client's request. */
export interface StartedExchangeOptions {
    readonly transport: Pick<EngineTransport, "send">;
    readonly clock: Clock;
    /** Factor on the time for which a stream's receiver may be silent; 1 for an engine. */
    readonly silenceFactor: number;
    readonly events: ExchangeEvents;
    /** Called before the client gets the first bytes of its answer, held until a returned promise resolves to whether
     * they may be sent. */
    readonly onStart: () => Promise<boolean> | undefined;
    /** Called whenever bytes arrive. */
    readonly onBytes: () => void;
    /** Called once with the answer's head. */
    readonly onHead: (head: EngineAnswerHead) => void;
    /** Called when the exchange has ended; returns the result that counts. */
    readonly finish: (result: ExchangeResult) => ExchangeResult;
}

/**
 * Builds the request that carries on a client's request at a target.
 *
 * @param request - The client's request
 * @param target - Engine or host that gets it
 * @param sentMs - Clock reading of the send, in milliseconds
 * @returns the request, without account, urgency and version
 *
 * @example
 * const req = buildRequest(request, { id, address }, clock.nowMs());
 */
export function buildRequest(request: ClientRequest, target: EngineTarget, sentMs: number): EngineRequest {
    return {
        target,
        requestId: request.requestId,
        method: request.req.method ?? "GET",
        path: request.req.url ?? "/",
        headers: request.head.forwarded,
        body: request.body,
        deadlineMs: request.deadlineAtMs - sentMs,
        account: undefined,
        urgency: undefined,
        version: undefined,
        lastEventId: request.relay?.lastEventId ?? request.head.lastEventId,
    };
}

/**
 * Starts an exchange for a client's request; it ends with the client's connection or deadline at the latest.
 *
 * @param request - The client's request
 * @param req - The request as it is sent
 * @param options - Transport and listeners
 * @returns the exchange in flight
 *
 * @example
 * const { result, cancel } = startExchange(request, buildRequest(request, target, sentMs), options);
 */
export function startExchange(
    request: ClientRequest,
    req: EngineRequest,
    { transport, clock, silenceFactor, events, onStart, onBytes, onHead, finish }: StartedExchangeOptions,
): RunningExchange {
    const controller = new AbortController();
    const cancel = (): void => controller.abort();
    request.signal.addEventListener("abort", cancel, { once: true });
    if (request.signal.aborted) {
        cancel();
    }
    const exchange = runExchange(req, {
        transport,
        clock,
        relay: request.relay,
        signal: controller.signal,
        silenceMs: request.route.isResumable ? chooseSilenceLimit(request.route.goalMs) * silenceFactor : undefined,
        onSilent: events.onSilent,
        onAccept: events.onAccept,
        onStart,
        onBytes() {
            events.onBytes();
            onBytes();
        },
        onHead,
    });
    const result = exchange.then(ended => {
        request.signal.removeEventListener("abort", cancel);
        return finish(ended);
    });
    return { result, cancel };
}
