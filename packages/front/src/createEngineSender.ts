import type { EngineAnswerHead, EngineEntry, KnownEngine } from "@fulmarcleat/directory";
import { readSuspectKind } from "@fulmarcleat/dispatch";
import type { EngineId } from "@fulmarcleat/ids";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import type { EngineClosures } from "./createEngineClosures.js";
import type { EngineLimits, SendPermit } from "./createEngineLimits.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import type { Quarantine } from "./createQuarantine.js";
import { describeHealth } from "./describeHealth.js";
import type { EnginePaths } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import { listSuspects } from "./listSuspects.js";
import { nameLeavingEngine } from "./nameLeavingEngine.js";
import { observeExchange } from "./performance/observeExchange.js";
import type { ExchangeResult } from "./runExchange.js";
import type { ExchangeEvents, RunningExchange } from "./runWithTakeover.js";
import type { AdapterTracker } from "./startAdapterTracker.js";
import { buildRequest, startExchange } from "./startExchange.js";

/** An engine that a request may be sent to. */
export interface EngineSendTarget {
    readonly kind: "engine";
    readonly known: KnownEngine;
    readonly permit: SendPermit;
}

/** Sends requests to engines and records what the exchanges show. */
export interface EngineSender {
    /** Sends a request to an engine; `onStart` is called before the client gets the first bytes of its answer. */
    send(
        request: ClientRequest,
        target: EngineSendTarget,
        events: ExchangeEvents,
        onStart: () => Promise<boolean> | undefined,
    ): RunningExchange;
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
 * @param paths - This host's paths to engines
 * @param closures - Told what engines say of further work
 * @returns the sender
 *
 * @example
 * const sender = createEngineSender(context, clusterView, loadTracker, adapters, quarantine, limits, paths, closures);
 * const { result } = sender.send(request, { kind: "engine", known, permit }, events, () => undefined);
 */
export function createEngineSender(
    context: FrontContext,
    clusterView: ClusterView,
    loadTracker: EngineLoadTracker,
    adapters: AdapterTracker,
    quarantine: Quarantine,
    limits: EngineLimits,
    paths: Pick<EnginePaths, "isPathLost" | "recordBytes" | "recordEnd" | "recordSend">,
    closures: Pick<EngineClosures, "recordEnd" | "recordNotice" | "recordSend">,
): EngineSender {
    const { clock, log } = context;
    const { performance } = loadTracker;
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
            case "discarded":
                return;
        }
    };
    const countTokensAhead = (engine: EngineId): number =>
        Math.max(loadTracker.countQueuedTokens(engine), adapters.countQueuedTokens(engine) ?? 0);
    const send = (
        request: ClientRequest,
        { known, permit }: EngineSendTarget,
        events: ExchangeEvents,
        onStart: () => Promise<boolean> | undefined,
    ): RunningExchange => {
        const { entry } = known;
        const sentMs = clock.nowMs();
        const { id } = entry;
        const adapter = request.requestedAdapter?.adapter;
        const isModel = request.service.engine !== undefined;
        let firstByteMs: number | undefined;
        let isAccepted = false;
        request.times.sentMs = sentMs;
        const req = {
            ...buildRequest(request, { id, address: entry.address }, sentMs),
            urgency: isModel ? Math.min(LEAST_URGENT_RANK, Math.max(0, request.priority)) : undefined,
            account: request.account?.name,
            version: request.requestedAdapter?.version,
        };
        log.write("info", 405, {
            id: request.requestId,
            engine: id,
            account: request.account?.name,
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
        const transport = request.mark === undefined ? context.transport : nameLeavingEngine(context.transport);
        const observed = performance.isLearning(entry.service)
            ? observeExchange(transport, {
                entry,
                isModel,
                isStream: request.route.kind === "streaming",
                isResumed: req.lastEventId !== undefined,
                tokens: promptTokens + countTokensAhead(id),
                clock,
            }, performance)
            : transport;
        loadTracker.addQueuedTokens(id, promptTokens);
        const heldTokens = promptTokens + (isModel ? request.head.tokens?.maxOutput ?? 0 : 0);
        loadTracker.startRequest(id, heldTokens);
        adapters.startRequest(id, adapter, promptTokens);
        limits.recordSend(entry, permit);
        paths.recordSend(entry);
        closures.recordSend(entry);
        const finish = (result: ExchangeResult): ExchangeResult => {
            if (firstByteMs === undefined) {
                loadTracker.addQueuedTokens(id, -promptTokens);
            }
            loadTracker.finishRequest(id, heldTokens);
            adapters.finishRequest(id, adapter);
            if (!isAccepted) {
                closures.recordEnd(entry, sentMs, "failed");
            }
            paths.recordEnd(entry, describePathEnd(result, firstByteMs !== undefined));
            const health = describeHealth(result, firstByteMs ?? clock.nowMs() - sentMs, clock.nowMs());
            // An engine that other hosts reach is not to blame for a lost path.
            if (health !== undefined && (health.kind !== "failed" || !paths.isPathLost(id))) {
                loadTracker.recordHealth(id, health);
            }
            const answeredForMs = firstByteMs === undefined ? 0 : clock.nowMs() - sentMs - firstByteMs;
            recordSuspects(entry, request, result, answeredForMs);
            return result;
        };
        return startExchange(request, req, {
            transport: observed,
            clock,
            silenceFactor: 1,
            events,
            onStart,
            onBytes() {
                loadTracker.recordBytes(id);
                paths.recordBytes(entry);
                if (firstByteMs === undefined) {
                    firstByteMs = clock.nowMs() - sentMs;
                    request.times.firstByteMs ??= sentMs + firstByteMs;
                    loadTracker.addQueuedTokens(id, -promptTokens);
                }
            },
            onHead(head) {
                limits.recordAnswer(entry, head, sentMs);
                if (head.notice !== undefined && isFrom(entry, head)) {
                    closures.recordNotice(entry, head.notice);
                }
                if (!head.isNotRun) {
                    isAccepted = true;
                    closures.recordEnd(entry, sentMs, "accepted");
                }
                if (head.load !== undefined) {
                    loadTracker.recordLoad(id, head.load);
                    if (isFrom(entry, head)) {
                        performance.recordLoad(entry, request.service, head.load);
                    }
                }
            },
            finish,
        });
    };
    return { send };
}

/** Whether an answer is from an engine, and not from another one at its address. */
function isFrom({ id }: EngineEntry, { instance }: EngineAnswerHead): boolean {
    return instance === undefined || instance === id;
}

/** Describes what the end of an exchange shows of the path to its engine. */
function describePathEnd({ kind }: ExchangeResult, wasHeard: boolean): "broken" | "other" | "unsent" {
    return kind === "unsent" || kind === "broken" && !wasHeard ? kind : "other";
}
