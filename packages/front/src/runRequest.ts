import type { KnownEngine, Service } from "@fulmarcleat/directory";
import { createRetryWindow, readSuspectKind } from "@fulmarcleat/dispatch";
import type { RetryWindow } from "@fulmarcleat/dispatch";
import { brandId, sleep } from "@fulmarcleat/ids";
import type { EngineId, ServiceName, Suspect } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";
import { applyAttempt, NO_ATTEMPTS } from "./applyAttempt.js";
import type { BufferedAnswer, GiveUpReason, RequestEnd, RequestProgress } from "./applyAttempt.js";
import { logRetry } from "./attempts/logRetry.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineChooser } from "./createEngineChooser.js";
import type { EngineClosures } from "./createEngineClosures.js";
import type { EngineLimits } from "./createEngineLimits.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import { createEnginePreparer, MIN_REMAINING_MS, NO_ENGINE_RETRY_MS } from "./createEnginePreparer.js";
import type { PreparationState } from "./createEnginePreparer.js";
import { createEngineSender } from "./createEngineSender.js";
import type { EngineSendTarget } from "./createEngineSender.js";
import type { Forwarder, HelperRefusal, HelperTarget } from "./createForwarder.js";
import type { Quarantine } from "./createQuarantine.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import type { EnginePaths } from "./enginePaths.js";
import type { ForwardMark } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import { listSuspects } from "./listSuspects.js";
import { mayFailOver } from "./mayFailOver.js";
import { directToOrigin } from "./origins/directToOrigin.js";
import type { ExchangeResult } from "./runExchange.js";
import { runWithTakeover, SILENT } from "./runWithTakeover.js";
import type { ExchangeEvents, RunningExchange } from "./runWithTakeover.js";
import type { AdapterTracker } from "./startAdapterTracker.js";
import { STOPPING_RETRY_MS } from "./stoppingRetry.js";

/** Where the stream of a request began; undefined until its first event has been sent. */
interface StreamState {
    origin: StreamOrigin | undefined;
}

/** An engine or a host that a request is sent to. */
type SendTarget = EngineSendTarget | HelperTarget;

/** The next step of a request: a target, its end, or another look. */
type NextTarget =
    | { readonly kind: "target"; readonly target: SendTarget }
    | { readonly kind: "over"; readonly end: RequestEnd }
    | { readonly kind: "again" };

/** State of one request over its attempts. */
interface RunState {
    readonly preparation: PreparationState;
    readonly stream: StreamState;
    /** Number of hosts that the request was handed to. */
    helpers: number;
    /** Time after which a host that refused the request would serve it, in milliseconds; undefined if none refused. */
    helperReadyInMs: number | undefined;
    /** How often the request may have reached an engine, as the hosts say that refused it. */
    helperSends: number;
    /** Whether the retry budget knows the request. */
    isCounted: boolean;
}

/** Sends client requests to engines. */
export interface RequestRunner {
    /** Runs one request, with retries if its route allows them. */
    run(request: ClientRequest): Promise<RequestEnd>;
}

/** Most engines that are looked at when a silent one is to be taken over, before the request waits on. */
const MAX_TAKEOVER_TRIES = 3;
/** Most hosts that one request is handed to. */
const MAX_HELPERS = 3;
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
 * @param paths - This host's paths to engines
 * @param closures - Says which engines may get work
 * @param forwarder - Hands requests to other hosts
 * @returns the runner
 *
 * @example
 * const runner = createRequestRunner(context, clusterView, loadTracker, adapters, streamOrigins, ...others);
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
    paths: EnginePaths,
    closures: EngineClosures,
    forwarder: Forwarder,
): RequestRunner {
    const { clock, log, metrics } = context;
    const chooser = createEngineChooser(context, closures, loadTracker, adapters);
    const preparer = createEnginePreparer(context, chooser, adapters, limits, closures);
    const sender = createEngineSender(
        context,
        clusterView,
        loadTracker,
        adapters,
        quarantine,
        limits,
        paths,
        closures,
    );
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
    /** Records where a stream begins, before its first event is sent; the promise resolves to whether that may be sent. */
    const startStream = (
        { requestId, route, head }: ClientRequest,
        { entry }: KnownEngine,
        stream: StreamState,
    ): Promise<boolean> | undefined => {
        const { service, softwareVersion } = entry;
        stream.origin ??= { service, softwareVersion };
        const mayBeginAnew = head.lastEventId === undefined;
        return route.isResumable
            ? streamOrigins.record({ requestId, service, softwareVersion }, { route, mayBeginAnew })
            : undefined;
    };
    const recordResult = (
        request: ClientRequest,
        target: SendTarget,
        result: ExchangeResult,
        sends: number,
    ): void => {
        metrics.count("exchanges_total", { result: result.kind });
        logRetry(log, { id: request.requestId, engine: readTargetId(target), sends }, result);
        if (target.kind === "engine" && result.kind === "not_run" && result.isReplaced) {
            clusterView.markReplaced(target.known.entry);
        }
    };
    /** Finds another host for a request; undefined for one that another host has handed to this one. */
    const findHelper = async (
        request: ClientRequest,
        progress: RequestProgress,
        state: RunState,
    ): Promise<HelperTarget | undefined> => {
        const member = request.mark === undefined && state.helpers < MAX_HELPERS
            ? await paths.findHelper(request.service.name, progress.excluded)
            : undefined;
        return member && { kind: "host", member, origin: state.stream.origin };
    };
    /** Finds where a new stream has to begin; undefined if any engine of its service may serve it. */
    const findRequiredOrigin = ({ requestId, route, service }: ClientRequest): StreamOrigin | undefined =>
        route.isResumable ? streamOrigins.findRequired(requestId, route, service.name) : undefined;
    /** Chooses the engine that gets a request, or another host if this one reaches no engine that would take it. */
    const chooseTarget = async (
        request: ClientRequest,
        progress: RequestProgress,
        state: RunState,
    ): Promise<NextTarget> => {
        if (request.mark === undefined && paths.isServiceSilent(request.service.name)) {
            const helper = await findHelper(request, progress, state);
            if (helper !== undefined) {
                return { kind: "target", target: helper };
            }
            if (state.helpers > 0) {
                const readyInMs = state.helperReadyInMs ?? NO_ENGINE_RETRY_MS;
                return { kind: "over", end: giveUp(progress, "no_path", readyInMs) };
            }
        }
        if (!state.isCounted) {
            state.isCounted = true;
            getRetryBudget(request.service).addRequest(clock.nowMs());
        }
        const origin = state.stream.origin ?? findRequiredOrigin(request);
        const prepared = await preparer.prepare(request, progress, state.preparation, origin);
        switch (prepared.kind) {
            case "again":
                return prepared;
            case "over": {
                const helper = isPathToBlame(prepared.end) && paths.hasSuspect(request.service.name)
                    ? await findHelper(request, progress, state)
                    : undefined;
                return helper === undefined ? prepared : { kind: "target", target: helper };
            }
            case "chosen": {
                const { known } = prepared;
                const permit = await limits.acquire(known.entry, request.priority, prepared.permit);
                if (permit.kind === "refused") {
                    state.preparation.refusedGrants += 1;
                    return { kind: "again" };
                }
                // It may have closed while the adapter was loaded or the permit was asked for.
                if (closures.find(known.entry.id) !== undefined) {
                    return { kind: "again" };
                }
                return { kind: "target", target: { kind: "engine", known, permit } };
            }
        }
    };
    /** Says why a request may not be sent to a target now; undefined if it may. */
    const findObstacle = (
        request: ClientRequest,
        progress: RequestProgress,
        target: SendTarget,
    ): RequestEnd | undefined => {
        if (request.signal.aborted) {
            return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
        }
        if (request.relay?.hasStarted !== true && !request.endsBeforeStop()) {
            return giveUp(progress, "stopping", STOPPING_RETRY_MS);
        }
        // The host that a request is handed to spends its own budget and looks for itself.
        if (target.kind === "host") {
            return undefined;
        }
        if (progress.sends > 0 && !getRetryBudget(request.service).trySpend(clock.nowMs())) {
            metrics.count("retries_refused_total", { service: request.service.name });
            return giveUp(progress, "no_retry_left", REFUSED_RETRY_MS);
        }
        const quarantined = quarantine.findAtSend(listSuspects(request));
        return quarantined && giveUp(progress, describeQuarantine(quarantined), QUARANTINED_RETRY_MS);
    };
    /** Finds where a stream began whose first events came by way of another host. */
    const findOrigin = async ({ relay, requestId, route }: ClientRequest, stream: StreamState): Promise<boolean> => {
        if (relay?.hasStarted === true) {
            stream.origin ??= await streamOrigins.find(requestId, route);
        }
        return relay?.hasStarted !== true || stream.origin !== undefined;
    };
    /** Finds another target for a stream whose engine is silent. Whatever speaks against it ends nothing. */
    const findTakeover = async (
        request: ClientRequest,
        progress: RequestProgress,
        state: RunState,
        isWanted: () => boolean,
    ): Promise<SendTarget | undefined> => {
        const { stream } = state;
        const preparation = { unownedEngines: new Set<EngineId>(), refusedGrants: 0 };
        for (let tries = 0; tries < MAX_TAKEOVER_TRIES && progress.sends < MAX_SENDS; tries += 1) {
            const next = await findOrigin(request, stream)
                ? await chooseTarget(directToOrigin(request, stream.origin), progress, { ...state, preparation })
                : undefined;
            if (next === undefined || next.kind === "over" || request.signal.aborted || !isWanted()) {
                return undefined;
            }
            if (next.kind === "target") {
                return findObstacle(request, progress, next.target) === undefined ? next.target : undefined;
            }
        }
        return undefined;
    };
    const start = (
        request: ClientRequest,
        progress: RequestProgress,
        state: RunState,
        target: SendTarget,
        events: ExchangeEvents,
    ): RunningExchange => {
        switch (target.kind) {
            case "engine":
                return sender.send(request, target, events, () => startStream(request, target.known, state.stream));
            case "host": {
                const onRefused = ({ readyInMs, sends }: HelperRefusal): void => {
                    state.helperReadyInMs = readyInMs;
                    // A host that has looked at the request has counted it.
                    state.isCounted ||= sends !== undefined;
                    state.helperSends = Math.max(state.helperSends, sends ?? 0);
                };
                const { isCounted } = state;
                state.helpers += 1;
                return forwarder.send(request, target, { progress, isCounted, onRefused }, events, () => undefined);
            }
        }
    };
    const run = async (received: ClientRequest): Promise<RequestEnd> => {
        const { lastEventId, resumedRequestId } = received.head;
        const { mark } = received;
        const isResumed = lastEventId !== undefined;
        const stream: StreamState = {
            origin: mark?.origin
                ?? (isResumed ? await streamOrigins.find(resumedRequestId, received.route) : undefined),
        };
        if (isResumed && stream.origin === undefined) {
            return giveUp(NO_ATTEMPTS, "unknown_origin", UNKNOWN_ORIGIN_RETRY_MS);
        }
        const quarantined = quarantine.find(listSuspects(received));
        if (quarantined !== undefined) {
            return giveUp(NO_ATTEMPTS, describeQuarantine(quarantined), QUARANTINED_RETRY_MS);
        }
        const state: RunState = {
            preparation: { unownedEngines: new Set(), refusedGrants: 0 },
            stream,
            helpers: 0,
            helperReadyInMs: undefined,
            helperSends: 0,
            isCounted: mark !== undefined && (mark.sends > 0 || mark.isCounted === true),
        };
        let progress = mark === undefined ? NO_ATTEMPTS : resumeProgress(mark);
        while (progress.sends < MAX_SENDS) {
            if (received.signal.aborted || received.deadlineAtMs - clock.nowMs() < MIN_REMAINING_MS) {
                return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
            }
            if (!await findOrigin(received, stream)) {
                return giveUp(progress, "unknown_origin", UNKNOWN_ORIGIN_RETRY_MS);
            }
            const request = directToOrigin(received, stream.origin);
            const chosen = await chooseTarget(request, progress, state);
            if (chosen.kind === "over") {
                return chosen.end;
            }
            if (chosen.kind === "again") {
                continue;
            }
            const obstacle = findObstacle(request, progress, chosen.target);
            if (obstacle !== undefined) {
                return obstacle;
            }
            const { target, result: ended } = await runWithTakeover<SendTarget>(chosen.target, {
                start: (next, events) => start(request, progress, state, next, events),
                findNext: (silent, isWanted) =>
                    findTakeover(request, recordLoser(progress, silent, SILENT), state, isWanted),
                recordFailedSearch(silent, err) {
                    const reason = `the search for another engine failed: ${String(err)}`;
                    log.write("error", 402, { id: request.requestId, engine: readTargetId(silent), reason });
                },
                recordLoser(loser, lost) {
                    recordResult(request, loser, lost, progress.sends + 1);
                    metrics.count("takeovers_total", { lost: lost.kind });
                    if (lost === SILENT && loser.kind === "engine") {
                        loadTracker.recordHealth(loser.known.entry.id, { kind: "failed", atMs: clock.nowMs() });
                    }
                    progress = addSends(recordLoser(progress, loser, lost), state);
                },
                onSwitch: () => request.relay?.discardPartialEvent(),
            });
            const result = ended.kind === "answer" && request.relay?.hasStarted === true
                ? describeUnfit(ended)
                : ended;
            recordResult(request, target, result, progress.sends + 1);
            if (result.kind === "broken") {
                request.relay?.discardPartialEvent();
            }
            if (result.kind === "discarded") {
                stream.origin = undefined;
            }
            const next = applyAttempt(progress, {
                engine: readTargetId(target),
                result,
                mayRetry: mayRetry(request),
                mayFailOver: result.kind === "answer" && target.kind === "engine"
                    && mayFailOver(request, result, progress.tried, target.known, chooser.list(request.service)),
            });
            if (next.kind === "over") {
                return next.end;
            }
            metrics.count("retries_total", { reason: result.kind });
            progress = addSends(next.progress, state);
            // An engine that takes nothing now isn't waited for: another one gets the request at once.
            if (next.pauseMs > 0 && closures.find(readTargetId(target)) === undefined) {
                await sleep(clock, next.pauseMs);
            }
        }
        return giveUp(progress, "refused", REFUSED_RETRY_MS);
    };
    return { run };
}

/** Smallest number of hosts that the retry budget is divided among, even if fewer hosts are known. */
const MIN_HOSTS = 6;

/** Describes a failed answer to the resumption of a stream that has begun: the client can't get it any more. */
function describeUnfit({ head }: BufferedAnswer): ExchangeResult {
    return { kind: "broken", reason: `answered ${head.status}`, framing: head.framing };
}

/** Returns what identifies a target among those that a request was sent to. */
function readTargetId(target: SendTarget): EngineId {
    switch (target.kind) {
        case "engine":
            return target.known.entry.id;
        case "host":
            return brandId<EngineId>(target.member.host);
    }
}

/** Continues a request at the point at which another host has handed it to this one. */
function resumeProgress({ sends, tried }: ForwardMark): RequestProgress {
    return { ...NO_ATTEMPTS, sends, tried: new Set(tried), excluded: new Set(tried) };
}

/** Counts the sends of hosts that refused a request, so that its next send anywhere is paid for as a retry. */
function addSends(progress: RequestProgress, { helperSends }: RunState): RequestProgress {
    return { ...progress, sends: Math.max(progress.sends, helperSends) };
}

/** Whether a request ended for want of an engine, which another host may reach. */
function isPathToBlame(end: RequestEnd): boolean {
    return end.kind === "gave_up"
        && (end.reason === "no_room" || end.reason === "no_engine" || end.reason === "overloaded");
}

/** Records an exchange that didn't end its request; its target is not tried again. */
function recordLoser(progress: RequestProgress, target: SendTarget, result: ExchangeResult): RequestProgress {
    const mayHaveRun = result.kind === "answer" || result.kind === "cancelled" || result.kind === "relayed";
    const next = applyAttempt(progress, {
        engine: readTargetId(target),
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
