import type { Priority } from "@fulmarcleat/resources";
import type { TraceRequest } from "./createTrace.js";
import type { Deployment } from "./deployment.js";
import { replayPlacement } from "./replayPlacement.js";
import type { ReplayPolicy } from "./replayPlacement.js";
import { summarizeTimes } from "./summarizeTimes.js";
import type { TimeSummary } from "./summarizeTimes.js";

/** Holds the figures calculated for a policy that knows the whole trace. */
export interface BoundFigures {
    /** Description of the calculation. */
    readonly calculated: string;
    readonly requests: number;
    readonly loads: number;
    readonly evictions: number;
    /** Time that requests waited for their adapter, by class. */
    readonly loadStallMs: Readonly<Record<Priority | "all", TimeSummary>>;
}

/** Adapter slots of an engine. */
const ADAPTER_SLOTS = 8;
/** Loads that the weight store starts per second. */
const STARTS_PER_SECOND = 2;
/** Duration of a load, in milliseconds. */
const LOAD_MS = 250;
/** Description of the calculation in the report. */
const CALCULATION =
    "replay of the trace: all adapter slots as one pool, evicts the model requested last, loads on demand, "
    + "starts with the most popular models loaded, no batch limits";

/**
 * Calculates the loads and stalls of a policy that knows the whole trace and loads adapters on demand.
 *
 * @param trace - Requests in the order in which they are sent
 * @param options - Deployment whose engines and token time are used
 * @returns the figures and a description of the calculation
 *
 * @example
 * const bound = boundStalls(trace, { deployment });
 */
export function computeStallBound(
    trace: readonly TraceRequest[],
    { deployment }: { readonly deployment: Deployment },
): BoundFigures {
    const adapterSlots = deployment.engines * ADAPTER_SLOTS;
    const warmUpRequests = Array.from({ length: adapterSlots }, (unused, model): TraceRequest => ({
        index: -1 - model,
        atMs: 0,
        model,
        caller: 0,
        gateway: 0,
        priority: "bulk",
        tokens: 1,
    }));
    const warmUpMs = adapterSlots / STARTS_PER_SECOND * MS_PER_SECOND + LOAD_MS + deployment.tokenMs;
    const shiftedTrace = [...warmUpRequests, ...trace.map(request => ({ ...request, atMs: request.atMs + warmUpMs }))];
    const figures = replayPlacement(shiftedTrace, createClairvoyant(shiftedTrace), {
        engines: 1,
        adapterSlots,
        startsPerSecond: STARTS_PER_SECOND,
        loadMs: LOAD_MS,
        tokenMs: deployment.tokenMs,
        countFromMs: warmUpMs,
    });
    const summarize = (priority: Priority | "all"): TimeSummary =>
        summarizeTimes(
            figures.stalls.filter(({ request }) => priority === "all" || request.priority === priority)
                .map(({ stallMs }) => stallMs),
        );
    return {
        calculated: CALCULATION,
        requests: figures.requests,
        loads: figures.loads,
        evictions: figures.evictions,
        loadStallMs: {
            all: summarize("all"),
            urgent: summarize("urgent"),
            normal: summarize("normal"),
            bulk: summarize("bulk"),
        },
    };
}

const MS_PER_SECOND = 1000;

/**
 * Creates a clairvoyant policy that evicts the model whose next request is furthest in the future.
 *
 * @param trace - Requests that will be replayed
 * @returns the policy, for a single engine
 *
 * @example
 * const figures = replayPlacement(trace, createClairvoyant(trace), options);
 */
export function createClairvoyant(trace: readonly TraceRequest[]): ReplayPolicy {
    const useTimes = new Map<number, number[]>();
    trace.forEach(({ model, atMs }) => useTimes.set(model, [...useTimes.get(model) ?? [], atMs]));
    const findNextUse = (model: number, nowMs: number): number => {
        const times = useTimes.get(model) ?? [];
        while ((times[0] ?? Infinity) <= nowMs) {
            times.shift();
        }
        return times[0] ?? Infinity;
    };
    return {
        chooseEngine: () => 0,
        chooseVictim: (residents, nowMs) =>
            [...residents].sort((a, b) => findNextUse(b.model, nowMs) - findNextUse(a.model, nowMs))[0]?.model,
    };
}
