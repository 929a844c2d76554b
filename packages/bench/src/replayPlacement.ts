import { orderLoads } from "@fulmarcleat/placement";
import type { LoadCandidate } from "@fulmarcleat/placement";
import type { TraceRequest } from "./createTrace.js";

/** Describes a loaded model to the replayed policy. */
export interface ReplayResident {
    readonly model: number;
    /** Simulated time of the last load or request start, in milliseconds. */
    readonly lastUsedMs: number;
}

/** Makes the decisions in a replay. */
export interface ReplayPolicy {
    /** Chooses the engine for a request; returns its index. */
    chooseEngine(request: TraceRequest): number;
    /** Chooses the model to evict among those that no request uses or waits for. */
    chooseVictim(residents: readonly ReplayResident[], nowMs: number): number | undefined;
}

/** Configures a replay. */
export interface ReplayOptions {
    readonly engines: number;
    /** Adapter slots of each engine. */
    readonly adapterSlots: number;
    /** Loads that the weight store starts per second. */
    readonly startsPerSecond: number;
    /** Duration of a load, in milliseconds. */
    readonly loadMs: number;
    /** Time per generated token, in milliseconds. */
    readonly tokenMs: number;
    /** Requests and loads before this time are not counted, in milliseconds. */
    readonly countFromMs: number;
}

/** Holds the results of a replay. */
export interface ReplayFigures {
    readonly requests: number;
    readonly loads: number;
    readonly evictions: number;
    /** Requests with the time that each waited for its adapter, in milliseconds. */
    readonly stalls: readonly { readonly request: TraceRequest; readonly stallMs: number }[];
}

interface Engine {
    readonly residents: Map<number, { lastUsedMs: number; pins: number; readyMs: number }>;
    readonly waiting: Map<number, TraceRequest[]>;
}

interface QueuedLoad extends LoadCandidate {
    readonly engine: Engine;
    readonly model: number;
}

interface RunEnd {
    readonly atMs: number;
    readonly engine: Engine;
    readonly model: number;
}

/** Step of the simulated time, in milliseconds. */
const TICK_MS = 10;
const MS_PER_SECOND = 1000;
const CLASS_RANK = { urgent: 0, normal: 1, bulk: 2 } as const;
/** Longest simulated time after the last request, in milliseconds. */
const DRAIN_MS = 600_000;

/**
 * Replays a trace through placement and eviction only, in simulated time without network and batch limits.
 *
 * @param trace - Requests in the order in which they are sent
 * @param policy - Chooses engines and evictions
 * @param options - Engines, slots and times
 * @returns loads, evictions and stalls
 *
 * @example
 * const { loads } = replayPlacement(trace, policy, options);
 */
export function replayPlacement(
    trace: readonly TraceRequest[],
    policy: ReplayPolicy,
    options: ReplayOptions,
): ReplayFigures {
    const engines = Array.from({ length: options.engines }, (): Engine => ({
        residents: new Map(),
        waiting: new Map(),
    }));
    const stalls: { request: TraceRequest; stallMs: number }[] = [];
    let runEnds: RunEnd[] = [];
    let loads = 0;
    let evictions = 0;
    let nextLoadMs = 0;
    let nextIndex = 0;
    const lastMs = (trace.at(-1)?.atMs ?? 0) + DRAIN_MS;
    const serve = (engine: Engine, request: TraceRequest, nowMs: number): void => {
        const resident = engine.residents.get(request.model);
        if (resident === undefined || resident.readyMs > nowMs) {
            const waitingRequests = engine.waiting.get(request.model);
            engine.waiting.set(request.model, [...waitingRequests ?? [], request]);
            return;
        }
        resident.lastUsedMs = nowMs;
        resident.pins += 1;
        runEnds.push({ atMs: nowMs + request.tokens * options.tokenMs, engine, model: request.model });
        if (request.atMs >= options.countFromMs) {
            stalls.push({ request, stallMs: Math.max(0, nowMs - request.atMs) });
        }
    };
    const freeSlot = (engine: Engine, nowMs: number): boolean => {
        if (engine.residents.size < options.adapterSlots) {
            return true;
        }
        const evictable = [...engine.residents].filter(([model, entry]) =>
            entry.pins === 0 && entry.readyMs <= nowMs && !engine.waiting.has(model)
        );
        const victim = policy.chooseVictim(evictable.map(([model, { lastUsedMs }]) => ({ model, lastUsedMs })), nowMs);
        evictions += victim === undefined ? 0 : 1;
        return victim !== undefined && engine.residents.delete(victim);
    };
    for (let nowMs = 0; nowMs < lastMs; nowMs += TICK_MS) {
        const endedRuns = runEnds.filter(ending => ending.atMs <= nowMs);
        if (endedRuns.length > 0) {
            runEnds = runEnds.filter(ending => ending.atMs > nowMs);
            endedRuns.forEach(({ engine, model }) => {
                const resident = engine.residents.get(model);
                if (resident !== undefined) {
                    resident.pins -= 1;
                }
            });
        }
        for (let next = trace[nextIndex]; next !== undefined && next.atMs <= nowMs; next = trace[nextIndex]) {
            nextIndex += 1;
            const engine = engines[policy.chooseEngine(next)];
            if (engine !== undefined) {
                serve(engine, next, nowMs);
            }
        }
        for (const engine of engines) {
            for (const [model, requests] of [...engine.waiting]) {
                if ((engine.residents.get(model)?.readyMs ?? Infinity) <= nowMs) {
                    engine.waiting.delete(model);
                    requests.forEach(request => serve(engine, request, nowMs));
                }
            }
        }
        const isIdle = engines.every(engine => engine.waiting.size === 0);
        if (isIdle && nextIndex >= trace.length) {
            break;
        }
        if (nowMs < nextLoadMs || isIdle) {
            continue;
        }
        for (const { engine, model } of orderLoads(listQueued(engines))) {
            if (freeSlot(engine, nowMs)) {
                engine.residents.set(model, { lastUsedMs: nowMs, pins: 0, readyMs: nowMs + options.loadMs });
                loads += nowMs >= options.countFromMs ? 1 : 0;
                nextLoadMs = nowMs + MS_PER_SECOND / options.startsPerSecond;
                break;
            }
        }
    }
    return { requests: stalls.length, loads, evictions, stalls };
}

function listQueued(engines: readonly Engine[]): readonly QueuedLoad[] {
    return engines.flatMap(engine =>
        [...engine.waiting].filter(([model]) => !engine.residents.has(model)).map(([model, requests]) => ({
            engine,
            model,
            rank: Math.min(...requests.map(request => CLASS_RANK[request.priority])),
            waiting: requests.length,
            waitingUrgent: requests.filter(request => request.priority === "urgent").length,
            oldestMs: requests[0]?.atMs ?? 0,
        }))
    );
}
