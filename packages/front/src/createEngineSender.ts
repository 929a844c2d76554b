import type { EngineEntry, EngineRequest, KnownEngine } from "@fulmarcleat/directory";
import { chooseSilenceLimit, readSuspectKind } from "@fulmarcleat/dispatch";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import type { EngineLimits, SendPermit } from "./createEngineLimits.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import type { Quarantine } from "./createQuarantine.js";
import { describeHealth } from "./describeHealth.js";
import type { FrontContext } from "./frontContext.js";
import { listSuspects } from "./listSuspects.js";
import { runExchange } from "./runExchange.js";
import type { ExchangeResult } from "./runExchange.js";
import type { ExchangeEvents, RunningExchange } from "./runWithTakeover.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

/** An engine that a request may be sent to. */
export interface SendTarget {
    readonly known: KnownEngine;
    readonly permit: SendPermit;
}

/** Sends requests to engines and records what the exchanges show. */
export interface EngineSender {
    /** Sends a request to an engine; `onStart` is called when the client gets the first bytes of its answer. */
    send(request: ClientRequest, target: SendTarget, events: ExchangeEvents, onStart: () => void): RunningExchange;
}

/** Urgency rank of the least urgent requests that engines accept. */
const LEAST_URGENT_RANK = 9;
/**
 * Time after an answer's first byte from which it speaks for its request, in milliseconds; poison requests crash an
 * engine sooner.
 */
const BEGINNING_MS = 500;

/**
 * Creates the sender of requests to engines.
 *
 * @param context - Transport, clock and log
 * @param clusterView - Tells how old this host's view of the engines is
 * @param loadTracker - Load and health of engines as this host observes them
 * @param adapters - Requests in flight for each adapter
 * @param quarantine - Prompt parts and requests that crash engines
 * @param limits - Limits that engines name
 * @returns the sender
 *
 * @example
 * const sender = createEngineSender(context, clusterView, loadTracker, adapters, quarantine, limits);
 * const { result } = sender.send(request, { known, permit }, events, () => undefined);
 */
export function createEngineSender(
    context: FrontContext,
    clusterView: ClusterView,
    loadTracker: EngineLoadTracker,
    adapters: AdapterTracker,
    quarantine: Quarantine,
    limits: EngineLimits,
): EngineSender {
    const { clock, log } = context;
    /** Records whether a request was answered, or whether the connection broke while its answer was beginning. */
    const recordSuspects = (
        entry: EngineEntry,
        request: ClientRequest,
        result: ExchangeResult,
        answeredForMs: number,
    ): void => {
        const suspects = listSuspects(request);
        switch (result.kind) {
            case "relayed":
                // An answer that ends with its connection doesn't prove that the engine still runs.
                if (result.framing !== "connection_end" || answeredForMs >= BEGINNING_MS) {
                    quarantine.recordAnswer(suspects);
                }
                return;
            case "answer":
                // A failed answer says nothing of a prompt, which may not have been read.
                if (result.head.framing !== "connection_end") {
                    quarantine.recordAnswer(suspects.filter(suspect => readSuspectKind(suspect) === "request"));
                }
                return;
            case "broken":
                if (answeredForMs >= BEGINNING_MS) {
                    quarantine.recordAnswer(suspects);
                }
                else {
                    quarantine.recordBreak(entry, suspects);
                }
                return;
            case "not_run":
            case "unsent":
            case "cancelled":
                return;
        }
    };
    const send = (
        request: ClientRequest,
        { known, permit }: SendTarget,
        events: ExchangeEvents,
        onStart: () => void,
    ): RunningExchange => {
        const { entry } = known;
        const sentMs = clock.nowMs();
        const { id } = entry;
        const adapter = request.requestedAdapter?.adapter;
        const isModel = request.service.engine !== undefined;
        let firstByteMs: number | undefined;
        request.times.sentMs = sentMs;
        const req: EngineRequest = {
            target: { id, address: entry.address },
            requestId: request.requestId,
            method: request.req.method ?? "GET",
            path: request.req.url ?? "/",
            headers: request.head.forwarded,
            body: request.body,
            deadlineMs: request.deadlineAtMs - sentMs,
            urgency: isModel ? Math.min(LEAST_URGENT_RANK, Math.max(0, request.route.priority)) : undefined,
            version: request.requestedAdapter?.version,
            lastEventId: request.relay?.lastEventId ?? request.head.lastEventId,
        };
        log.write("info", 405, {
            id: request.requestId,
            engine: id,
            adapter,
            sharedParts: request.head.sharedParts?.join(","),
            digest: request.digest,
            version: request.requestedAdapter?.version,
            softwareVersion: entry.softwareVersion,
            viewAgeMs: clusterView.readAgeMs("engines"),
            afterEvent: req.lastEventId,
            resumes: request.head.resumedRequestId,
        });
        const promptTokens = isModel ? request.head.tokens?.prompt ?? 0 : 0;
        loadTracker.addQueuedTokens(id, promptTokens);
        loadTracker.startRequest(id);
        adapters.startRequest(id, adapter);
        limits.recordSend(entry, permit);
        const controller = new AbortController();
        const cancel = (): void => controller.abort();
        request.signal.addEventListener("abort", cancel, { once: true });
        if (request.signal.aborted) {
            cancel();
        }
        const exchange = runExchange(req, {
            transport: context.transport,
            clock,
            relay: request.relay,
            signal: controller.signal,
            silenceMs: request.route.isResumable ? chooseSilenceLimit(request.route.goalMs) : undefined,
            onSilent: events.onSilent,
            onAccept: events.onAccept,
            onStart,
            onBytes() {
                loadTracker.recordBytes(id);
                events.onBytes();
                if (firstByteMs === undefined) {
                    firstByteMs = clock.nowMs() - sentMs;
                    request.times.firstByteMs ??= sentMs + firstByteMs;
                    loadTracker.addQueuedTokens(id, -promptTokens);
                }
            },
            onHead(head) {
                limits.recordAnswer(entry, head, sentMs);
                if (head.load !== undefined) {
                    loadTracker.recordLoad(id, head.load);
                }
            },
        });
        const finish = (result: ExchangeResult): ExchangeResult => {
            request.signal.removeEventListener("abort", cancel);
            if (firstByteMs === undefined) {
                loadTracker.addQueuedTokens(id, -promptTokens);
            }
            loadTracker.finishRequest(id);
            adapters.finishRequest(id, adapter);
            const health = describeHealth(result, firstByteMs ?? clock.nowMs() - sentMs, clock.nowMs());
            if (health !== undefined) {
                loadTracker.recordHealth(id, health);
            }
            const answeredForMs = firstByteMs === undefined ? 0 : clock.nowMs() - sentMs - firstByteMs;
            recordSuspects(entry, request, result, answeredForMs);
            return result;
        };
        return { result: exchange.then(finish), cancel };
    };
    return { send };
}
