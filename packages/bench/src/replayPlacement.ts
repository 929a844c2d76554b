import { orderLoads } from "@fulmarcleat/placement";
import type { LoadCandidate } from "@fulmarcleat/placement";
import type { TraceRequest } from "./createTrace.js";

/** A loaded model as a replay sees it. */
export interface ReplayResident {
    readonly model: number;
    readonly lastUsedMs: number;
}

/** The decisions that a replay tries. */
export interface ReplayPolicy {
    /** Takes in a request and chooses the engine for it. */
    chooseEngine(request: TraceRequest): number;
    /** Chooses the model to evict among those that nothing holds or waits for. */
    chooseVictim(residents: readonly ReplayResident[], nowMs: number): number | undefined;
}

/** Sizes of a replay. */
export interface ReplayOptions {
    readonly engines: number;
    readonly adapterSlots: number;
    readonly startsPerSecond: number;
    readonly loadMs: number;
    readonly tokenMs: number;
    /** Requests before this time count for nothing, in milliseconds. */
    readonly countFromMs: number;
}

/** What a replay counted. */
export interface ReplayFigures {
    readonly requests: number;
    readonly loads: number;
    readonly evictions: number;
    /** Requests with the load stall of each. */
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

const TICK_MS = 10;
const MS_PER_SECOND = 1000;
const CLASS_RANK = { urgent: 0, normal: 1, bulk: 2 } as const;
const DRAIN_MS = 600_000;

/**
 * Replays a trace through placement and replacement alone: no sockets, no batches, time in steps.
 *
 * @param trace - The requests
 * @param policy - The decisions
 * @param options - Sizes
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
    let endings: RunEnd[] = [];
    let loads = 0;
    let evictions = 0;
    let nextStartMs = 0;
    let at = 0;
    const lastMs = (trace.at(-1)?.atMs ?? 0) + DRAIN_MS;
    const serve = (engine: Engine, request: TraceRequest, nowMs: number): void => {
        const resident = engine.residents.get(request.model);
        if (resident === undefined || resident.readyMs > nowMs) {
            const others = engine.waiting.get(request.model);
            engine.waiting.set(request.model, [...others ?? [], request]);
            return;
        }
        resident.lastUsedMs = nowMs;
        resident.pins += 1;
        endings.push({ atMs: nowMs + request.tokens * options.tokenMs, engine, model: request.model });
        if (request.atMs >= options.countFromMs) {
            stalls.push({ request, stallMs: Math.max(0, nowMs - request.atMs) });
        }
    };
    const makeRoom = (engine: Engine, nowMs: number): boolean => {
        if (engine.residents.size < options.adapterSlots) {
            return true;
        }
        const free = [...engine.residents].filter(([model, entry]) =>
            entry.pins === 0 && entry.readyMs <= nowMs && !engine.waiting.has(model)
        );
        const victim = policy.chooseVictim(free.map(([model, { lastUsedMs }]) => ({ model, lastUsedMs })), nowMs);
        evictions += victim === undefined ? 0 : 1;
        return victim !== undefined && engine.residents.delete(victim);
    };
    for (let nowMs = 0; nowMs < lastMs; nowMs += TICK_MS) {
        const due = endings.filter(ending => ending.atMs <= nowMs);
        if (due.length > 0) {
            endings = endings.filter(ending => ending.atMs > nowMs);
            due.forEach(({ engine, model }) => {
                const resident = engine.residents.get(model);
                if (resident !== undefined) {
                    resident.pins -= 1;
                }
            });
        }
        for (let next = trace[at]; next !== undefined && next.atMs <= nowMs; next = trace[at]) {
            at += 1;
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
        if (isIdle && at >= trace.length) {
            break;
        }
        if (nowMs < nextStartMs || isIdle) {
            continue;
        }
        for (const { engine, model } of orderLoads(listQueued(engines))) {
            if (makeRoom(engine, nowMs)) {
                engine.residents.set(model, { lastUsedMs: nowMs, pins: 0, readyMs: nowMs + options.loadMs });
                loads += nowMs >= options.countFromMs ? 1 : 0;
                nextStartMs = nowMs + MS_PER_SECOND / options.startsPerSecond;
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
