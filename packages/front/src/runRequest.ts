import type { EngineEntry, EngineRequest, KnownEngine, Service } from "@fulmarcleat/directory";
import { createRetryWindow, readSuspectKind } from "@fulmarcleat/dispatch";
import type { RetryWindow, Suspects } from "@fulmarcleat/dispatch";
import { sleep } from "@fulmarcleat/ids";
import type { EngineId, ServiceName, Suspect } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";
import { applyAttempt, NO_ATTEMPTS } from "./applyAttempt.js";
import type { BufferedAnswer, GiveUpReason, RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineChooser } from "./createEngineChooser.js";
import type { EngineLimits, SendPermit } from "./createEngineLimits.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import { createEnginePreparer, MIN_REMAINING_MS, NO_ENGINE_RETRY_MS } from "./createEnginePreparer.js";
import type { PreparationState } from "./createEnginePreparer.js";
import type { Quarantine } from "./createQuarantine.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import { describeHealth, FIRST_SERVER_ERROR } from "./describeHealth.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import { runExchange } from "./runExchange.js";
import type { ExchangeResult } from "./runExchange.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

/** Where the stream of a request began; undefined until its first event has been sent. */
interface StreamState {
    origin: StreamOrigin | undefined;
}

/** Sends client requests to engines. */
export interface RequestRunner {
    /** Runs one request, with retries if its route allows them. */
    run(request: ClientRequest): Promise<RequestEnd>;
}

/** Time without a byte after which a resumable stream is moved to another engine, in milliseconds. */
const RESUME_SILENCE_MS = 1100;
/** Most times that one request is sent to engines, refused attempts included. */
const MAX_SENDS = 8;
/** Urgency rank of the least urgent requests that engines accept. */
const LEAST_URGENT_RANK = 9;
/** Expected time until another host may know where a stream began, in milliseconds; basis of the Retry-After. */
const UNKNOWN_ORIGIN_RETRY_MS = 30;
/** Expected time until a quarantined request is let through again, in milliseconds; basis of the Retry-After. */
const QUARANTINED_RETRY_MS = 60_000;
/**
 * Time after an answer's first byte from which it speaks for its request, in milliseconds; poison requests crash an
 * engine sooner.
 */
const BEGINNING_MS = 500;
/** Expected time until engines that refused a request accept one, in milliseconds; basis of the Retry-After. */
const REFUSED_RETRY_MS = 120;

/**
 * Creates the runner that sends client requests to engines.
 *
 * @param context - Transport, clock, metrics and log
 * @param clusterView - Engines and hosts
 * @param loadTracker - Load and health of engines as this host observes them
 * @param adapters - Adapters on engines and requests to load them
 * @param streamOrigins - Where streams began that clients resume
 * @param quarantine - Prompt parts and requests that crash engines
 * @param limits - Limits that engines name
 * @returns the runner
 *
 * @example
 * const runner = createRequestRunner(context, clusterView, loadTracker, adapters, streamOrigins, quarantine, limits);
 * const end = await runner.run(request);
 */
export function createRequestRunner(
    context: FrontContext,
    clusterView: ClusterView,
    loadTracker: EngineLoadTracker,
    adapters: AdapterTracker,
    streamOrigins: StreamOrigins,
    quarantine: Quarantine,
    limits: EngineLimits,
): RequestRunner {
    const { clock, log, metrics } = context;
    const chooser = createEngineChooser(context, clusterView, loadTracker, adapters);
    const preparer = createEnginePreparer(context, chooser, adapters, limits);
    const budgets = new Map<ServiceName, RetryWindow>();
    const getRetryBudget = ({ name }: Service): RetryWindow => {
        const existing = budgets.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const { retryRatio, retryReserve, retryWindowMs } = context.readBounds();
        const budget = createRetryWindow({
            ratio: retryRatio,
            reserve: retryReserve,
            windowMs: retryWindowMs,
            countHosts: () => Math.max(MIN_HOSTS, clusterView.members.size),
        });
        budgets.set(name, budget);
        return budget;
    };
    const send = async (
        request: ClientRequest,
        { entry }: KnownEngine,
        permit: SendPermit,
        onStart: () => void,
    ): Promise<ExchangeResult> => {
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
        const result = await runExchange(req, {
            transport: context.transport,
            clock,
            relay: request.relay,
            signal: request.signal,
            silenceMs: request.route.isResumable ? RESUME_SILENCE_MS : undefined,
            onStart,
            onBytes() {
                loadTracker.recordBytes(id);
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
                else if (result.reason !== "silent") {
                    quarantine.recordBreak(entry, suspects);
                }
                return;
            case "not_run":
            case "unsent":
            case "cancelled":
                return;
        }
    };
    const logRetry = (request: ClientRequest, known: KnownEngine, result: ExchangeResult, sends: number): void => {
        const details = { id: request.requestId, engine: known.entry.id, sends };
        switch (result.kind) {
            case "not_run":
                log.write("info", 402, { ...details, status: result.status });
                return;
            case "unsent":
                log.write("info", 402, { ...details, reason: result.reason });
                return;
            case "broken":
                log.write("info", 402, { ...details, reason: result.reason, framing: result.framing });
                return;
            case "answer":
            case "relayed":
            case "cancelled":
                return;
        }
    };
    /** Records where a stream begins when its first event has been sent to the client. */
    const startStream = ({ requestId, route }: ClientRequest, { entry }: KnownEngine, stream: StreamState): void => {
        const { service, softwareVersion } = entry;
        stream.origin ??= { service, softwareVersion };
        if (route.isResumable) {
            streamOrigins.record({ requestId, service, softwareVersion });
        }
    };
    const run = async (request: ClientRequest): Promise<RequestEnd> => {
        const { lastEventId, resumedRequestId } = request.head;
        const isResumed = lastEventId !== undefined;
        const stream: StreamState = {
            origin: isResumed ? await streamOrigins.find(resumedRequestId, request.service) : undefined,
        };
        if (isResumed && stream.origin === undefined) {
            return giveUp(NO_ATTEMPTS, "unknown_origin", UNKNOWN_ORIGIN_RETRY_MS);
        }
        const suspects = listSuspects(request);
        const quarantined = quarantine.find(suspects);
        if (quarantined !== undefined) {
            return giveUp(NO_ATTEMPTS, describeQuarantine(quarantined), QUARANTINED_RETRY_MS);
        }
        const budget = getRetryBudget(request.service);
        const state: PreparationState = { unownedEngines: new Set(), refusedGrants: 0 };
        let progress = NO_ATTEMPTS;
        budget.addRequest(clock.nowMs());
        while (progress.sends < MAX_SENDS) {
            if (request.signal.aborted || request.deadlineAtMs - clock.nowMs() < MIN_REMAINING_MS) {
                return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
            }
            const prepared = await preparer.prepare(request, progress, state, stream.origin);
            if (prepared.kind === "over") {
                return prepared.end;
            }
            if (prepared.kind === "again") {
                continue;
            }
            const { known } = prepared;
            const permit = await limits.acquire(known.entry, request.route.priority, prepared.permit);
            if (permit.kind === "refused") {
                state.refusedGrants += 1;
                continue;
            }
            if (request.signal.aborted) {
                return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
            }
            if (progress.sends > 0 && !budget.trySpend(clock.nowMs())) {
                metrics.count("retries_refused_total", { service: request.service.name });
                return giveUp(progress, "no_retry_left", REFUSED_RETRY_MS);
            }
            const quarantinedSince = quarantine.findAtSend(suspects);
            if (quarantinedSince !== undefined) {
                return giveUp(progress, describeQuarantine(quarantinedSince), QUARANTINED_RETRY_MS);
            }
            const result = await send(request, known, permit, () => startStream(request, known, stream));
            metrics.count("exchanges_total", { result: result.kind });
            logRetry(request, known, result, progress.sends + 1);
            if (result.kind === "not_run" && result.isReplaced) {
                clusterView.markReplaced(known.entry);
            }
            if (result.kind === "broken") {
                request.relay?.discardPartialEvent();
            }
            const next = applyAttempt(progress, {
                engine: known.entry.id,
                result,
                mayRetry: mayRetry(request),
                mayFailOver: result.kind === "answer"
                    && mayFailOver(request, result, progress.tried, known, chooser.list(request.service)),
            });
            if (next.kind === "over") {
                return next.end;
            }
            metrics.count("retries_total", { reason: result.kind });
            progress = next.progress;
            if (next.pauseMs > 0) {
                await sleep(clock, next.pauseMs);
            }
        }
        return giveUp(progress, "refused", REFUSED_RETRY_MS);
    };
    return { run };
}

/** Smallest number of hosts that the retry budget is divided among, even if fewer hosts are known. */
const MIN_HOSTS = 6;

/** Lists what of a request may crash engines. */
function listSuspects({ head, digest }: ClientRequest): Suspects {
    const parts = head.sharedParts ?? [];
    return digest === undefined ? parts : [...parts, digest];
}

function describeQuarantine(suspect: Suspect): GiveUpReason {
    switch (readSuspectKind(suspect)) {
        case "part":
            return "quarantined_prompt";
        case "request":
            return "quarantined_request";
    }
}

function mayRetry(request: ClientRequest): boolean {
    switch (request.route.kind) {
        case "safe":
            return request.relay?.hasStarted !== true;
        case "unsafe":
            return false;
        case "streaming":
            return request.route.isResumable;
    }
}

/** Whether a failed answer of an engine may be replaced: only for safe requests, while another engine is left. */
function mayFailOver(
    request: ClientRequest,
    { head }: BufferedAnswer,
    tried: ReadonlySet<EngineId>,
    known: KnownEngine,
    engines: readonly KnownEngine[],
): boolean {
    const used = new Set(tried).add(known.entry.id);
    return request.route.kind === "safe" && head.status >= FIRST_SERVER_ERROR && used.size < request.route.maxEngines
        && engines.some(other => !used.has(other.entry.id));
}
