import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import type { Priority } from "@fulmarcleat/resources";

/** One request of a trace. */
export interface TraceRequest {
    readonly index: number;
    /** When it is sent, in milliseconds from the trace's start. */
    readonly atMs: number;
    /** Number of the adapter version, from 0. */
    readonly model: number;
    readonly caller: number;
    readonly gateway: number;
    readonly priority: Priority;
    readonly tokens: number;
}

/** Sizes of a trace. */
export interface TraceOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly requestsPerSecond: number;
    readonly models: number;
    /** Exponent of the Zipf law of popularity. */
    readonly exponent: number;
    readonly callers: number;
    readonly gateways: number;
    /** Shares of the classes; bulk takes the rest. */
    readonly urgentShare: number;
    readonly normalShare: number;
    /** Mean tokens of an answer of each class. */
    readonly tokens: Readonly<Record<Priority, number>>;
    /** When quiet adapters become the busiest, in milliseconds; undefined where they do not. */
    readonly shiftAtMs: number | undefined;
    /** Further bulk requests a second from one caller, and when. */
    readonly flood: { readonly fromMs: number; readonly toMs: number; readonly perSecond: number } | undefined;
}

const MS_PER_SECOND = 1000;
/** Spreads neighbouring seeds over all 32 bits. */
const SEED_FACTOR = 0x9e3779b1;
/** First draws, which differ little between seeds. */
const SKIPPED_DRAWS = 32;

/**
 * Makes a trace of requests; the same options give the same trace.
 *
 * @param options - Seed and sizes
 * @returns the requests in the order in which they are sent
 *
 * @example
 * const trace = createTrace({ ...options, seed: 7 });
 */
export function createTrace(options: TraceOptions): readonly TraceRequest[] {
    const random = createRandom(Math.imul(options.seed, SEED_FACTOR));
    Array.from({ length: SKIPPED_DRAWS }, () => random.next());
    const draw = createZipf(options.models, options.exponent);
    const times = [
        ...drawTimes(random, options.requestsPerSecond, 0, options.seconds * MS_PER_SECOND)
            .map(atMs => ({ atMs, isFlood: false })),
        ...(options.flood === undefined
            ? []
            : drawTimes(random, options.flood.perSecond, options.flood.fromMs, options.flood.toMs)
                .map(atMs => ({ atMs, isFlood: true }))),
    ].sort((a, b) => a.atMs - b.atMs);
    return times.map(({ atMs, isFlood }, index): TraceRequest => {
        const priority = isFlood ? "bulk" : drawPriority(random.next(), options);
        const rank = draw(random.next());
        const isShifted = options.shiftAtMs !== undefined && atMs >= options.shiftAtMs;
        return {
            index,
            atMs,
            model: isShifted ? (rank + Math.floor(options.models / 2)) % options.models : rank,
            caller: isFlood ? 0 : Math.floor(random.next() * options.callers),
            gateway: Math.floor(random.next() * options.gateways),
            priority,
            tokens: Math.max(1, Math.round(options.tokens[priority] * (0.5 + random.next()))),
        };
    });
}

function drawTimes(random: Random, perSecond: number, fromMs: number, toMs: number): readonly number[] {
    const times: number[] = [];
    let atMs = fromMs;
    for (;;) {
        atMs -= Math.log(1 - random.next()) * MS_PER_SECOND / perSecond;
        if (atMs >= toMs) {
            return times;
        }
        times.push(atMs);
    }
}

function drawPriority(draw: number, options: TraceOptions): Priority {
    if (draw < options.urgentShare) {
        return "urgent";
    }
    return draw < options.urgentShare + options.normalShare ? "normal" : "bulk";
}

function createZipf(count: number, exponent: number): (draw: number) => number {
    const sums: number[] = [];
    let sum = 0;
    for (let rank = 1; rank <= count; rank += 1) {
        sum += rank ** -exponent;
        sums.push(sum);
    }
    return draw => {
        const wanted = draw * sum;
        let low = 0;
        let high = count - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((sums[middle] ?? 0) < wanted) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    };
}
