import type { EngineDriver } from "@fulmarcleat/drivers";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CallerName, CancelTimer, Clock, EngineId, HostId, PlaceId } from "@fulmarcleat/ids";
import type { PolicyDecisions, PopularityTable } from "@fulmarcleat/placement";
import type { Decision, EngineStatus, PlaceEnd, PlaceReply, PlaceRequest } from "@fulmarcleat/wire";
import { PLACE_START_TIMEOUT_MS } from "./applyReport.js";
import { chooseReuse } from "./chooseReuse.js";
import { countBatch } from "./countBatch.js";
import { countPins } from "./countPins.js";
import { createEngineState } from "./createEngineState.js";
import type { EngineEffect } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineLimits, EngineState } from "./engineState.js";
import type { LoadBudgetTask } from "./loadBudgetTask.js";
import { parseInstanceName } from "./parseInstanceName.js";
import { readLoadRank } from "./readLoadRank.js";
import { reduceEngine } from "./reduceEngine.js";

/** Dependencies and settings of the task that owns one engine. */
export interface EngineTaskOptions {
    readonly engine: EngineId;
    readonly host: HostId;
    readonly driver: EngineDriver;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly limits: EngineLimits;
    readonly budget: LoadBudgetTask;
    /** Delay between two requests for the engine's report, in milliseconds. */
    readonly reportMs: number;
    /** Longest wait for an engine's answer to an order, in milliseconds. */
    readonly orderMs: number;
    readonly recordDecision: (decision: Omit<Decision, "host" | "atMs">) => void;
    /** The policy's decisions; the built-in decisions if undefined. */
    readonly decisions?: PolicyDecisions;
    /** Request rates of the adapter versions, over all engines of this host. */
    readonly popularity: PopularityTable;
    /** Returns a caller's weight in the sharing of places. */
    readonly readWeight: (caller: CallerName) => number;
    /** Chooses the engines that serve an adapter at a given request rate. */
    readonly chooseReplicas: (request: PlaceRequest, ratePerSecond: number) => readonly EngineId[];
    /** Called when the engine was released, to release the owner record. */
    readonly onReleased: (fence: number, holders: readonly HostId[]) => void;
    /** Whether the host may no longer own the engine; no places are granted and no orders are sent meanwhile. */
    readonly isSuspended: () => boolean;
}

/** The task that owns one engine. */
export interface EngineTask {
    readonly state: EngineState;
    /** Requests a place; settles once it is granted or refused. */
    requestPlace(request: PlaceRequest): Promise<PlaceReply>;
    /** Ends places and counts the requests that they served. */
    endPlaces(end: PlaceEnd): void;
    /** Handles a message and carries out the resulting actions. */
    send(message: EngineMessage): void;
    /** Returns the engine's status for operators. */
    status(): EngineStatus;
    /** Stops polling the engine; the state is retained. */
    stop(): void;
}

/** A place request that is not answered yet. */
interface PendingReply {
    readonly request: PlaceRequest;
    readonly resolve: (reply: PlaceReply) => void;
}

/** Interval at which waiting requests and unload retries are checked, in milliseconds. */
const TICK_MS = 50;
/** Upper limit of the wait for a report, after which the engine's connections are checked, in milliseconds. */
const MAX_REPORT_TIMEOUT_MS = 2000;
/** Longest wait for the answer to a probe over a new connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 1000;

/**
 * Starts the task that owns one engine.
 *
 * @param options - Driver, limits, metrics and policy
 * @returns the task
 *
 * @example
 * const task = startEngineTask({ engine, driver, ...rest });
 */
export function startEngineTask(options: EngineTaskOptions): EngineTask {
    const { clock, driver, engine, metrics, log } = options;
    const reportTimeoutMs = Math.min(options.orderMs, MAX_REPORT_TIMEOUT_MS);
    const pendingReplies = new Map<string, PendingReply>();
    const abortController = new AbortController();
    let state = createEngineState(engine, options.limits);
    let isShowingFence = false;
    let cancelTick: CancelTimer = () => undefined;
    let cancelReport: CancelTimer = () => undefined;

    const send = (message: EngineMessage): void => {
        const nowMs = clock.nowMs();
        const loadsAllowed = options.budget.countAllowed(
            engine,
            () => readLoadRank(addIncomingRequest(state, message), nowMs),
        );
        const { decisions, popularity } = options;
        const readRate: EngineContext["readRate"] = (adapter, version) =>
            popularity.rate(`${adapter}@${version}`, nowMs);
        const step = reduceEngine(state, message, {
            nowMs,
            loadsAllowed,
            loadsPerSecond: options.budget.loadsPerSecond,
            isSuspended: options.isSuspended(),
            decisions,
            readRate,
            readWeight: options.readWeight,
        });
        const previousIncarnation = state.engineIncarnation;
        state = step.state;
        if (
            previousIncarnation !== undefined && state.engineIncarnation !== undefined
            && state.engineIncarnation !== previousIncarnation
        ) {
            log.write("warn", 306, { engine });
        }
        step.effects.forEach(runEffect);
    };
    const runEffect = (effect: EngineEffect): void => {
        switch (effect.kind) {
            case "grant":
                replyGranted(effect);
                return;
            case "refuse":
                reply(effect.waiting.place, {
                    kind: "refused",
                    code: effect.code,
                    message: effect.message,
                    retryAfterMs: effect.retryAfterMs,
                });
                return;
            case "load":
                void load(effect);
                return;
            case "unload":
                void unload(effect);
                return;
            case "showFence":
                void showFence(effect);
                return;
            case "released":
                options.onReleased(effect.fence, effect.holders);
                return;
            case "decision":
                options.recordDecision(effect);
                return;
        }
    };
    const reply = (place: string, body: PlaceReply): void => {
        pendingReplies.get(place)?.resolve(body);
        pendingReplies.delete(place);
    };
    const replyGranted = (effect: Extract<EngineEffect, { kind: "grant" }>): void => {
        const { waiting, instance, fence, waitedMs, loadStallMs, ratePerSecond } = effect;
        const pending = pendingReplies.get(waiting.place);
        const replicas = pending === undefined ? [engine] : options.chooseReplicas(pending.request, ratePerSecond);
        metrics.record("load_stall", loadStallMs, { class: waiting.priority });
        reply(waiting.place, {
            kind: "granted",
            place: waiting.place,
            instance,
            fence,
            waitedMs,
            startWithinMs: PLACE_START_TIMEOUT_MS,
            replicas,
            reuseMs: chooseReuse(state),
            loadStallMs,
        });
    };
    const load = async (effect: Extract<EngineEffect, { kind: "load" }>): Promise<void> => {
        const startedMs = clock.nowMs();
        options.budget.recordLoadStart();
        const result = await driver.load(effect, AbortSignal.timeout(options.orderMs)).catch(() => undefined);
        options.budget.recordLoadEnd(clock.nowMs() - startedMs);
        const isDone = result?.kind === "done";
        metrics.count(isDone ? "loads_total" : "load_failures_total", { engine });
        log.write(isDone ? "info" : "warn", isDone ? 303 : 304, { engine, instance: effect.instance });
        send({ kind: "loadAnswered", instance: effect.instance, result });
    };
    const unload = async (effect: Extract<EngineEffect, { kind: "unload" }>): Promise<void> => {
        const result = await driver.unload(effect.instance, effect.fence, AbortSignal.timeout(options.orderMs)).catch(
            () => undefined,
        );
        metrics.count("evictions_total", { engine, result: result?.kind ?? "unknown" });
        log.write("info", 305, { engine, instance: effect.instance });
        send({ kind: "unloadAnswered", instance: effect.instance, result });
    };
    const showFence = async (effect: Extract<EngineEffect, { kind: "showFence" }>): Promise<void> => {
        if (isShowingFence) {
            return;
        }
        isShowingFence = true;
        const sentMs = clock.nowMs();
        const signal = AbortSignal.timeout(options.orderMs);
        const result = await driver.unload(effect.instance, effect.fence, signal).catch(() => undefined);
        isShowingFence = false;
        send({ kind: "fenceAnswered", sentMs, result });
    };
    const tick = (): void => {
        const hasPendingRetry = state.instances.some(instance => instance.retryAtMs !== undefined);
        if (state.waiting.length > 0 || hasPendingRetry) {
            send({ kind: "tick" });
        }
        cancelTick = clock.setTimer(TICK_MS, tick);
    };
    const pollReport = async (): Promise<void> => {
        const askedMs = clock.nowMs();
        if (state.phase === "owned") {
            const report = await driver.report(AbortSignal.timeout(reportTimeoutMs)).catch(() => undefined);
            if (report !== undefined && !abortController.signal.aborted) {
                countBatch(metrics, report, state.waiting.length);
                send({ kind: "report", report, askedMs });
            }
            if (report === undefined && !abortController.signal.aborted) {
                await reconnectUnresponsive(options);
            }
        }
        if (!abortController.signal.aborted) {
            cancelReport = clock.setTimer(options.reportMs, () => void pollReport());
        }
    };
    const recordRuns = (place: PlaceId, runs: number): void => {
        const instance = state.places.find(entry => entry.place === place)?.instance;
        const parts = instance === undefined ? undefined : parseInstanceName(instance);
        for (let run = 0; parts !== undefined && run < runs; run += 1) {
            options.popularity.record(`${parts.adapter}@${parts.version}`, clock.nowMs());
        }
    };
    tick();
    void pollReport();
    return {
        get state() {
            return state;
        },
        requestPlace: request =>
            new Promise(resolve => {
                pendingReplies.set(request.place, { request, resolve });
                const nowMs = clock.nowMs();
                options.popularity.record(`${request.adapter}@${request.version}`, nowMs);
                send({ kind: "ask", waiting: { ...request, arrivedMs: nowMs, deadlineMs: nowMs + request.waitMs } });
            }),
        endPlaces: end =>
            end.ends.forEach(({ place, use, runs }) => {
                recordRuns(place, runs - 1);
                send({ kind: "placeEnd", place, use, runs });
            }),
        send,
        status: () => describeEngine(state, options),
        stop() {
            abortController.abort();
            cancelTick();
            cancelReport();
        },
    };
}

/** Replaces an engine's connections if they are unresponsive and a new one works. */
async function reconnectUnresponsive({ driver, engine, metrics, log }: EngineTaskOptions): Promise<void> {
    const isReachable = await driver.probe(AbortSignal.timeout(PROBE_TIMEOUT_MS)).catch(() => false);
    metrics.count("engine_probes_total", { engine, result: isReachable ? "works" : "fails" });
    if (isReachable) {
        log.write("warn", 307, { engine });
        await driver.reconnect().catch(() => undefined);
    }
}

function addIncomingRequest(state: EngineState, message: EngineMessage): EngineState {
    return message.kind === "ask" ? { ...state, waiting: [...state.waiting, message.waiting] } : state;
}

function describeEngine(state: EngineState, options: EngineTaskOptions): EngineStatus {
    return {
        engine: state.engine,
        owner: options.host,
        fence: state.fence,
        draining: state.limits.draining,
        running: state.places.length,
        waiting: state.waiting.length,
        instances: state.instances.map(instance => ({
            instance: instance.instance,
            state: instance.status,
            pins: countPins(state, instance),
            ratePerSecond: instance.rate.perSecond,
        })),
    };
}
