import type { Random } from "@fulmarcleat/ids";
import { OWNER_SAMPLES, reducePerformance, UNKNOWN_PERFORMANCE } from "./reducePerformance.js";
import type { EnginePerformance } from "./reducePerformance.js";
import { readSlowdown, reduceWorkFactor, UNKNOWN_WORK_FACTOR } from "./reduceWorkFactor.js";
import type { WorkFactor } from "./reduceWorkFactor.js";
import { summarizeGaps } from "./summarizeGaps.js";

/** How a fake engine works and what its load header states. */
export interface FakeEngineTerms {
    /** Factor on the speed of its work. */
    readonly speed: number;
    /** Prompt tokens that it reads in one step. */
    readonly pieceTokens: number;
    /** Tokens in one event. */
    readonly stride: number;
    /** Present factor on all durations. */
    readonly readFactor: (atMs: number) => number;
    /** What its header states, in percent, for the present factor. */
    readonly statePercent: (factor: number) => number;
    /** Share of the requests of whose prompts it has kept a part. */
    readonly keptShare: number;
    /** Share of the requests that are late because of a queue that their host doesn't know. */
    readonly lateShare: number;
}

/** An engine, and what was learned of it. */
export interface FakeEngine {
    readonly terms: FakeEngineTerms;
    state: EnginePerformance;
    work: WorkFactor;
}

/** Tokens that an engine of speed 1 reads in a millisecond, and the time that a step takes besides. */
const TOKENS_PER_MS = 38.7;
const STEP_MS = 5.5;
/** Time that messages and the start of a request take, in milliseconds. */
const START_MS = 4;
/** Lengths of prompts. */
const MIN_PROMPT = 200;
const MAX_PROMPT = 8000;
/** Longest time in an unknown queue, in milliseconds. */
const MAX_QUEUE_MS = 300;
/** Gaps of one stream that a host observes between two reports. */
const GAPS = 12;
/** Share of gaps in which the engine reads a piece of another prompt. */
const READING_GAP_SHARE = 0.4;

/**
 * Creates an engine of which nothing is known.
 *
 * @param terms - How it works; the rest is usual
 * @returns the engine
 *
 * @example
 * const engine = createFakeEngine({ speed: 0.55 });
 */
export function createFakeEngine(terms: Partial<FakeEngineTerms>): FakeEngine {
    return {
        terms: {
            speed: 1,
            pieceTokens: 2048,
            stride: 4,
            readFactor: () => 1,
            statePercent: factor => factor * 100,
            keptShare: 0.4,
            lateShare: 0.1,
            ...terms,
        },
        state: UNKNOWN_PERFORMANCE,
        work: UNKNOWN_WORK_FACTOR,
    };
}

/**
 * Observes one request at an engine: its header, its first byte, and gaps between events of its stream.
 *
 * @param engine - The engine, whose learned state is updated
 * @param random - Lengths, kept parts and queues
 * @param atMs - Time of the first byte, in milliseconds
 * @param hasGaps - Whether gaps are observed too
 * @returns nothing
 *
 * @example
 * observeRequest(engine, createRandom(1), 500, true);
 */
export function observeRequest(engine: FakeEngine, random: Random, atMs: number, hasGaps: boolean): void {
    const { speed, pieceTokens, stride, readFactor, statePercent, keptShare, lateShare } = engine.terms;
    const factor = readFactor(atMs);
    const tokens = Math.round(MIN_PROMPT + (MAX_PROMPT - MIN_PROMPT) * random.next() ** 2);
    const read = random.next() < keptShare ? tokens * (1 - random.next() * 0.9) : tokens;
    const steps = Math.ceil(read / pieceTokens) + stride - 1;
    const queueMs = random.next() < lateShare ? random.next() * MAX_QUEUE_MS : 0;
    const ms = (START_MS + queueMs) + (steps * STEP_MS + read / TOKENS_PER_MS) / speed * factor;
    engine.work = reduceWorkFactor(engine.work, statePercent(factor), atMs);
    const slowdown = readSlowdown(engine.work, atMs);
    engine.state = reducePerformance(
        engine.state,
        { kind: "first_byte", ms: ms / slowdown, tokens },
        atMs,
        OWNER_SAMPLES,
    );
    if (hasGaps) {
        const gaps = Array.from({ length: GAPS }, () => {
            const reads = random.next() < READING_GAP_SHARE ? pieceTokens / TOKENS_PER_MS : 0;
            return (stride * STEP_MS + reads) / speed * factor / slowdown;
        });
        const gapMs = summarizeGaps(gaps) ?? 0;
        engine.state = reducePerformance(engine.state, { kind: "event", ms: gapMs, tokens: 0 }, atMs, OWNER_SAMPLES);
    }
}
