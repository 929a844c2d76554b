import type { KnownEngine, Service } from "@fulmarcleat/directory";
import { createRetryWindow, readSuspectKind } from "@fulmarcleat/dispatch";
import type { RetryWindow } from "@fulmarcleat/dispatch";
import { sleep } from "@fulmarcleat/ids";
import type { EngineId, ServiceName, Suspect } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";
import { applyAttempt, NO_ATTEMPTS } from "./applyAttempt.js";
import type { BufferedAnswer, GiveUpReason, RequestEnd, RequestProgress } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineChooser } from "./createEngineChooser.js";
import type { EngineLimits } from "./createEngineLimits.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import { createEnginePreparer, MIN_REMAINING_MS, NO_ENGINE_RETRY_MS } from "./createEnginePreparer.js";
import type { PreparationState } from "./createEnginePreparer.js";
import { createEngineSender } from "./createEngineSender.js";
import type { SendTarget } from "./createEngineSender.js";
import type { Quarantine } from "./createQuarantine.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import { FIRST_SERVER_ERROR } from "./describeHealth.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import { listSuspects } from "./listSuspects.js";
import type { ExchangeResult } from "./runExchange.js";
import { runWithTakeover, SILENT } from "./runWithTakeover.js";
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

/** Most engines that are looked at when a silent one is to be taken over, before the request waits on. */
const MAX_TAKEOVER_TRIES = 3;
/** Most times that one request is sent to engines, refused attempts included. */
const MAX_SENDS = 8;
/** Expected time until another host may know where a stream began, in milliseconds; basis of the Retry-After. */
const UNKNOWN_ORIGIN_RETRY_MS = 30;
/** Expected time until a quarantined request is let through again, in milliseconds; basis of the Retry-After. */
const QUARANTINED_RETRY_MS = 60_000;
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
    const sender = createEngineSender(context, clusterView, loadTracker, adapters, quarantine, limits);
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
    const recordResult = (request: ClientRequest, known: KnownEngine, result: ExchangeResult, sends: number): void => {
        metrics.count("exchanges_total", { result: result.kind });
        logRetry(request, known, result, sends);
        if (result.kind === "not_run" && result.isReplaced) {
            clusterView.markReplaced(known.entry);
        }
    };
    /** Finds another engine for a stream whose engine is silent. Whatever speaks against it ends nothing. */
    const findTakeover = async (
        request: ClientRequest,
        progress: RequestProgress,
        stream: StreamState,
        isWanted: () => boolean,
    ): Promise<SendTarget | undefined> => {
        const state: PreparationState = { unownedEngines: new Set(), refusedGrants: 0 };
        const suspects = listSuspects(request);
        for (let tries = 0; tries < MAX_TAKEOVER_TRIES && progress.sends < MAX_SENDS; tries += 1) {
            const prepared = await preparer.prepare(request, progress, state, stream.origin);
            if (prepared.kind === "over" || request.signal.aborted) {
                return undefined;
            }
            if (prepared.kind === "again") {
                continue;
            }
            const permit = await limits.acquire(prepared.known.entry, request.route.priority, prepared.permit);
            if (permit.kind === "refused") {
                state.refusedGrants += 1;
                continue;
            }
            if (!isWanted()) {
                return undefined;
            }
            if (!getRetryBudget(request.service).trySpend(clock.nowMs())) {
                metrics.count("retries_refused_total", { service: request.service.name });
                return undefined;
            }
            return quarantine.findAtSend(suspects) === undefined ? { known: prepared.known, permit } : undefined;
        }
        return undefined;
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
            const { target, result } = await runWithTakeover<SendTarget>({ known, permit }, {
                start: (target, events) =>
                    sender.send(request, target, events, () => startStream(request, target.known, stream)),
                findNext: (silent, isWanted) =>
                    findTakeover(request, recordLoser(progress, silent, SILENT), stream, isWanted),
                recordFailedSearch(silent, err) {
                    const reason = `the search for another engine failed: ${String(err)}`;
                    log.write("error", 402, { id: request.requestId, engine: silent.known.entry.id, reason });
                },
                recordLoser(loser, lost) {
                    recordResult(request, loser.known, lost, progress.sends + 1);
                    metrics.count("takeovers_total", { lost: lost.kind });
                    if (lost === SILENT) {
                        loadTracker.recordHealth(loser.known.entry.id, { kind: "failed", atMs: clock.nowMs() });
                    }
                    progress = recordLoser(progress, loser, lost);
                },
                onSwitch: () => request.relay?.discardPartialEvent(),
            });
            recordResult(request, target.known, result, progress.sends + 1);
            if (result.kind === "broken") {
                request.relay?.discardPartialEvent();
            }
            const next = applyAttempt(progress, {
                engine: target.known.entry.id,
                result,
                mayRetry: mayRetry(request),
                mayFailOver: result.kind === "answer"
                    && mayFailOver(request, result, progress.tried, target.known, chooser.list(request.service)),
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

/** Records an exchange that didn't end its request; its engine is not tried again. */
function recordLoser(progress: RequestProgress, { known }: SendTarget, result: ExchangeResult): RequestProgress {
    const mayHaveRun = result.kind === "answer" || result.kind === "cancelled" || result.kind === "relayed";
    const next = applyAttempt(progress, {
        engine: known.entry.id,
        result: mayHaveRun ? SILENT : result,
        mayRetry: true,
        mayFailOver: false,
    });
    return next.kind === "again" ? next.progress : progress;
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
