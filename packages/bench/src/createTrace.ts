import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import type { Priority } from "@fulmarcleat/resources";

/** Describes one request of a trace. */
export interface TraceRequest {
    /** Position in the trace, from 0; negative for warm-up requests. */
    readonly index: number;
    /** Time at which it is sent, in milliseconds from the start of the trace. */
    readonly atMs: number;
    /** Number of the adapter version, from 0. */
    readonly model: number;
    readonly caller: number;
    readonly gateway: number;
    readonly priority: Priority;
    /** Number of tokens to generate. */
    readonly tokens: number;
}

/** Configures a trace. */
export interface TraceOptions {
    readonly seed: number;
    /** Length of the trace, in seconds. */
    readonly seconds: number;
    readonly requestsPerSecond: number;
    /** Number of adapter versions. */
    readonly models: number;
    /** Exponent of the Zipf distribution of the models' popularity. */
    readonly exponent: number;
    readonly callers: number;
    readonly gateways: number;
    /** Shares of the urgent and normal classes; all other requests are bulk. */
    readonly urgentShare: number;
    readonly normalShare: number;
    /** Mean number of tokens of an answer, by class. */
    readonly tokens: Readonly<Record<Priority, number>>;
    /** Time at which rarely used adapters become the most used, in milliseconds; undefined for never. */
    readonly shiftAtMs: number | undefined;
    /** Additional bulk requests of one caller per second, and their time range in milliseconds. */
    readonly flood: { readonly fromMs: number; readonly toMs: number; readonly perSecond: number } | undefined;
}

const MS_PER_SECOND = 1000;
/** Multiplier that distributes neighbouring seeds over all 32 bits. */
const SEED_FACTOR = 0x9e3779b1;
/** Number of discarded first draws, since they differ little between seeds. */
const DISCARDED_DRAWS = 32;

/**
 * Creates a trace of requests; equal options give equal traces.
 *
 * @param options - Seed, length, load and distributions
 * @returns the requests in the order in which they are sent
 *
 * @example
 * const trace = createTrace({ ...options, seed: 7 });
 */
export function createTrace(options: TraceOptions): readonly TraceRequest[] {
    const random = createRandom(Math.imul(options.seed, SEED_FACTOR));
    Array.from({ length: DISCARDED_DRAWS }, () => random.next());
    const drawRank = createZipf(options.models, options.exponent);
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
        const rank = drawRank(random.next());
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
    const cumulativeWeights: number[] = [];
    let sum = 0;
    for (let rank = 1; rank <= count; rank += 1) {
        sum += rank ** -exponent;
        cumulativeWeights.push(sum);
    }
    return draw => {
        const target = draw * sum;
        let low = 0;
        let high = count - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((cumulativeWeights[middle] ?? 0) < target) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    };
}
