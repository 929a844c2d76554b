import type { ModelEngineView } from "./engineView.js";
import { estimateLatePauses } from "./estimateLatePauses.js";

/** Loss of a caller whose stream is late, in milliseconds of delay that callers would lose as much by. */
const LATE_STREAM_MS = 500;
/** Part of an engine's memory from which a further request is likely to exceed it, since answers grow. */
const MAX_MEMORY_PART = 0.9;
/** Cost of exceeding an engine's memory, in milliseconds; all its requests are lost. */
const OUT_OF_MEMORY_MS = 15_000;

/**
 * Estimates what a generation costs the other requests of an engine: streams whose events pause too long while its prompt
 * is processed, and an engine that runs out of memory.
 *
 * @param view - Load, queue and speed of the engine, and the generation's work there
 * @returns the cost in milliseconds; 0 for engines whose speed is not known
 *
 * @example
 * const costMs = estimateFirstByte(view, atMs, loadMs) + estimateEffect(view);
 */
export function estimateEffect({ load, pace, queuedTokens, work }: ModelEngineView): number {
    if (pace === undefined || work === undefined) {
        return 0;
    }
    const estimate = (promptTokens: number): number => estimateLatePauses({ ...work, pace, promptTokens });
    const now = estimate(queuedTokens);
    // Streams that a queue makes late already are not late again; the request's own stream is one of them.
    const lateStreams = load * (estimate(queuedTokens + work.promptTokens) - now) + now;
    return lateStreams * LATE_STREAM_MS + (work.memoryPart > MAX_MEMORY_PART ? OUT_OF_MEMORY_MS : 0);
}
