import type { EngineEntry, KnownEngine } from "@fulmarcleat/directory";
import { shouldShed } from "@fulmarcleat/dispatch";
import type { ShedTerms } from "@fulmarcleat/dispatch";
import { sleep } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";
import type { RequestEnd, RequestProgress } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { EngineChooser } from "./createEngineChooser.js";
import type { EngineClosures } from "./createEngineClosures.js";
import type { EngineLimits, SendPermit } from "./createEngineLimits.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

/** Result of choosing an engine and making the adapter available there. */
export type PreparedEngine =
    | { readonly kind: "chosen"; readonly known: KnownEngine; readonly permit: SendPermit }
    | { readonly kind: "over"; readonly end: RequestEnd }
    /** This attempt failed, but another engine or a later attempt may succeed. */
    | { readonly kind: "again" };

/** Whether an engine has the requested adapter, or why it can't get it. */
type AdapterReadiness = "ready" | "no_room" | "no_owner";

/** State of one request over its preparations. */
export interface PreparationState {
    /** Engines whose owners did not answer, or had no room for the adapter in time. */
    readonly unownedEngines: Set<EngineId>;
    /** Number of grants that were refused. */
    refusedGrants: number;
}

/** Chooses the engines of requests and makes their adapters available there. */
export interface EnginePreparer {
    /** Chooses the next engine and makes the adapter available there, or returns why that failed. */
    prepare(
        request: ClientRequest,
        progress: RequestProgress,
        state: PreparationState,
        origin: StreamOrigin | undefined,
    ): Promise<PreparedEngine>;
}

/** Longest wait for an adapter at one engine, in milliseconds. */
const MAX_ADAPTER_WAIT_MS = 350;
/** Delay before engines whose owners did not answer are tried again, in milliseconds. */
const NO_OWNER_RETRY_DELAY_MS = 80;
/** Refused grants after which a request goes only to engines that name no limit. */
const MAX_REFUSED_GRANTS = 3;
/** Delay before a stream that has begun looks again for an engine that takes a request, in milliseconds. */
const LIMITED_STREAM_DELAY_MS = 50;
/** Time that must be left before the deadline for a request to be sent, in milliseconds. */
export const MIN_REMAINING_MS = 40;
/** Expected time until an engine is available if none was found, in milliseconds; basis of the Retry-After. */
export const NO_ENGINE_RETRY_MS = 400;

/**
 * Creates the step before a send: the choice of an engine, the right to send to it, and the adapter there.
 *
 * @param context - Clock, metrics and log
 * @param chooser - Chooses among engines
 * @param adapters - Adapters on engines and requests to load them
 * @param limits - Limits that engines name
 * @param closures - Says when engines in a pause take requests again
 * @returns the step
 *
 * @example
 * const preparer = createEnginePreparer(context, chooser, adapters, limits, closures);
 * const prepared = await preparer.prepare(request, progress, { unownedEngines: new Set(), refusedGrants: 0 }, undefined);
 */
export function createEnginePreparer(
    context: Pick<FrontContext, "clock" | "log" | "metrics">,
    chooser: EngineChooser,
    adapters: AdapterTracker,
    limits: EngineLimits,
    closures: Pick<EngineClosures, "bookReturn">,
): EnginePreparer {
    const { clock, log, metrics } = context;
    const ensureAdapter = async (
        request: ClientRequest,
        known: KnownEngine,
        isMissing: boolean,
    ): Promise<AdapterReadiness> => {
        const { requestedAdapter } = request;
        if (requestedAdapter === undefined) {
            return "ready";
        }
        const presence = adapters.find(known.entry, requestedAdapter);
        if (presence.kind === "present" && !isMissing) {
            return "ready";
        }
        if (presence.kind === "coming" && !isMissing) {
            await sleep(clock, presence.readyInMs);
            return "ready";
        }
        const nowMs = clock.nowMs();
        const wait = {
            waitMs: Math.min(request.deadlineAtMs - nowMs - MIN_REMAINING_MS, MAX_ADAPTER_WAIT_MS),
            dueInMs: request.startedMs + request.route.goalMs - nowMs,
        };
        const reply = await adapters.requestLoad(known.entry, requestedAdapter, wait, isMissing);
        metrics.count("adapter_waits_total", { reply: reply.kind });
        if (reply.kind === "refused") {
            log.write("warn", 304, { id: request.requestId, engine: known.entry.id, reason: reply.reason });
            return reply.reason === "no_room" ? "no_room" : "no_owner";
        }
        if (reply.inMs > 0) {
            await sleep(clock, reply.inMs);
        }
        return "ready";
    };
    /** Refuses a request whose engines take none for a time; a stream that has begun waits. */
    const waitOrRefuse = async (
        request: ClientRequest,
        progress: RequestProgress,
        reason: "limited" | "paused",
        bookReturn: () => number,
    ): Promise<PreparedEngine> => {
        if (request.relay?.hasStarted === true) {
            await sleep(clock, LIMITED_STREAM_DELAY_MS);
            return { kind: "again" };
        }
        return { kind: "over", end: giveUp(progress, reason, bookReturn()) };
    };
    /** Ends a request none of whose engines may get work, or lets it wait for those in a pause. */
    const endWithoutEngine = async (
        request: ClientRequest,
        progress: RequestProgress,
        origin: StreamOrigin | undefined,
    ): Promise<PreparedEngine> => {
        const { priority, service } = request;
        const isAllowed = (entry: EngineEntry): boolean =>
            mayContinue(entry, origin) && !progress.excluded.has(entry.id);
        const readyInMs = closures.bookReturn(service.name, priority, isAllowed);
        if (readyInMs !== undefined) {
            return waitOrRefuse(request, progress, "paused", () => readyInMs);
        }
        // A new stream may have to begin at a certain version too; it can still come again with another id.
        const hasBegun = request.head.lastEventId !== undefined || request.relay?.hasStarted === true;
        const reason = origin !== undefined && hasBegun ? "version_gone" : "no_engine";
        return { kind: "over", end: giveUp(progress, reason, NO_ENGINE_RETRY_MS) };
    };
    /** Chooses the next engine and makes the adapter available there, or returns why that failed. */
    const prepare = async (
        request: ClientRequest,
        progress: RequestProgress,
        state: PreparationState,
        origin: StreamOrigin | undefined,
    ): Promise<PreparedEngine> => {
        const { priority } = request;
        const { unownedEngines } = state;
        const isEngineLimitReached = progress.tried.size >= request.route.maxEngines;
        const engines = chooser.list(request.service).filter(({ entry }) => mayContinue(entry, origin));
        if (engines.length === 0) {
            return endWithoutEngine(request, progress, origin);
        }
        const allowed = engines.filter(({ entry: { id } }) =>
            !progress.excluded.has(id) && !unownedEngines.has(id) && (!isEngineLimitReached || progress.tried.has(id))
        );
        const mayAsk = state.refusedGrants < MAX_REFUSED_GRANTS;
        const open = allowed.filter(({ entry }) =>
            limits.readHoldMs(entry, priority) === 0 && (mayAsk || !limits.isLimited(entry))
        );
        if (open.length === 0 && allowed.length > 0) {
            state.refusedGrants = 0;
            return waitOrRefuse(
                request,
                progress,
                "limited",
                () => limits.bookReturn(allowed.map(({ entry }) => entry)),
            );
        }
        const chosen = await chooser.choose(request, open);
        if (chosen === undefined && unownedEngines.size > 0) {
            unownedEngines.clear();
            await sleep(clock, NO_OWNER_RETRY_DELAY_MS);
            return { kind: "again" };
        }
        if (chosen === undefined) {
            const reason = progress.excluded.size > 0 ? "no_room" : "no_engine";
            return { kind: "over", end: giveUp(progress, reason, NO_ENGINE_RETRY_MS) };
        }
        const { known, expectedMs } = chosen;
        if (mayShed(request) && shouldShed(describeShedTerms(request, expectedMs, clock.nowMs()))) {
            return { kind: "over", end: giveUp(progress, "overloaded", expectedMs - request.route.goalMs) };
        }
        // Before the adapter is loaded, so that no load is ordered for a request that can't be sent.
        const permit = await limits.acquire(known.entry, priority);
        if (permit.kind === "refused") {
            state.refusedGrants += 1;
            return { kind: "again" };
        }
        switch (await ensureAdapter(request, known, progress.isMissing)) {
            case "ready":
                return { kind: "chosen", known, permit };
            // Asked again at once, the same engine would take the rest of the request's time.
            case "no_room":
            case "no_owner":
                unownedEngines.add(known.entry.id);
                return { kind: "again" };
        }
    };
    return { prepare };
}

/** Whether an engine may send the next part of a stream; what two software versions write doesn't fit together. */
function mayContinue({ service, softwareVersion }: EngineEntry, origin: StreamOrigin | undefined): boolean {
    return origin === undefined || origin.service === service && origin.softwareVersion === softwareVersion;
}

/** Whether a request may be refused under overload; a stream that has started is never refused. */
function mayShed(request: ClientRequest): boolean {
    return request.service.engine !== undefined && request.relay?.hasStarted !== true;
}

function describeShedTerms(request: ClientRequest, expectedMs: number, nowMs: number): ShedTerms {
    return {
        expectedMs,
        waitedMs: nowMs - request.startedMs,
        goalMs: request.route.goalMs,
        priority: request.priority,
        leftMs: request.deadlineAtMs - nowMs,
    };
}
