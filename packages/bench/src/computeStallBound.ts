import type { Priority } from "@fulmarcleat/resources";
import type { TraceRequest } from "./createTrace.js";
import type { Deployment } from "./deployment.js";
import { replayPlacement } from "./replayPlacement.js";
import type { ReplayPolicy } from "./replayPlacement.js";
import { summarizeTimes } from "./summarizeTimes.js";
import type { TimeSummary } from "./summarizeTimes.js";

/** What is calculated for a policy that knows the trace. */
export interface BoundFigures {
    readonly calculated: string;
    readonly requests: number;
    readonly loads: number;
    readonly evictions: number;
    readonly loadStallMs: Readonly<Record<Priority | "all", TimeSummary>>;
}

const ADAPTER_PLACES = 8;
const STARTS_PER_SECOND = 2;
const LOAD_MS = 250;
const HOW = "replay of the trace: all places as one pool, evicts what is asked for last, loads on demand, "
    + "starts with the most popular in its places, no batch limits";

/**
 * Calculates loads and stalls of a policy that knows the trace and loads on demand.
 *
 * @param trace - The requests
 * @param options - The deployment
 * @returns the figures, and how they were calculated
 *
 * @example
 * const bound = boundStalls(trace, { deployment });
 */
export function computeStallBound(
    trace: readonly TraceRequest[],
    { deployment }: { readonly deployment: Deployment },
): BoundFigures {
    const places = deployment.engines * ADAPTER_PLACES;
    const warm = Array.from({ length: places }, (unused, model): TraceRequest => ({
        index: -1 - model,
        atMs: 0,
        model,
        caller: 0,
        gateway: 0,
        priority: "bulk",
        tokens: 1,
    }));
    const warmMs = places / STARTS_PER_SECOND * MS_PER_SECOND + LOAD_MS + deployment.tokenMs;
    const shifted = [...warm, ...trace.map(request => ({ ...request, atMs: request.atMs + warmMs }))];
    const figures = replayPlacement(shifted, createClairvoyant(shifted), {
        engines: 1,
        adapterSlots: places,
        startsPerSecond: STARTS_PER_SECOND,
        loadMs: LOAD_MS,
        tokenMs: deployment.tokenMs,
        countFromMs: warmMs,
    });
    const sum = (priority: Priority | "all"): TimeSummary =>
        summarizeTimes(
            figures.stalls.filter(({ request }) => priority === "all" || request.priority === priority)
                .map(({ stallMs }) => stallMs),
        );
    return {
        calculated: HOW,
        requests: figures.requests,
        loads: figures.loads,
        evictions: figures.evictions,
        loadStallMs: { all: sum("all"), urgent: sum("urgent"), normal: sum("normal"), bulk: sum("bulk") },
    };
}

const MS_PER_SECOND = 1000;

/**
 * Creates the replacement that evicts the model asked for last.
 *
 * @param trace - The requests that are to come
 * @returns the policy, on one engine
 *
 * @example
 * const figures = replayPlacement(trace, createClairvoyant(trace), options);
 */
export function createClairvoyant(trace: readonly TraceRequest[]): ReplayPolicy {
    const uses = new Map<number, number[]>();
    trace.forEach(({ model, atMs }) => uses.set(model, [...uses.get(model) ?? [], atMs]));
    const nextUse = (model: number, nowMs: number): number => {
        const times = uses.get(model) ?? [];
        while ((times[0] ?? Infinity) <= nowMs) {
            times.shift();
        }
        return times[0] ?? Infinity;
    };
    return {
        chooseEngine: () => 0,
        chooseVictim: (residents, nowMs) =>
            [...residents].sort((a, b) => nextUse(b.model, nowMs) - nextUse(a.model, nowMs))[0]?.model,
    };
}
