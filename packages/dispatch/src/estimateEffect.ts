import type { EnginePace, GenerationWork, ModelEngineView } from "./engineView.js";
import { CHUNK_TOKENS, estimateLatePauses } from "./estimateLatePauses.js";

/** Loss of a caller whose stream is late, in milliseconds of delay that callers would lose as much by. */
const LATE_STREAM_MS = 500;
/** Time for which streams in flight usually run on, in milliseconds. */
const USUAL_REST_MS = 1000;
/** Part of an engine's memory from which a further request is likely to exceed it, since answers grow. */
const MAX_MEMORY_PART = 0.9;
/** Cost of exceeding an engine's memory, in milliseconds; all its requests are lost. */
const OUT_OF_MEMORY_MS = 15_000;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Estimates what a generation costs the other requests of an engine, and its own stream beside their prompts: streams
 * whose events pause too long while a prompt is processed, and an engine that runs out of memory. Long prompts so gather
 * at few engines while there is room, and long streams at the others.
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
    const lateNow = estimate(queuedTokens);
    const answerMs = work.outputTokens / work.eventTokens * pace.eventMs;
    // Streams that are late already, or will be by the prompts that come anyway, are not late again.
    const others = load * (estimate(queuedTokens + work.promptTokens) - lateNow)
        * (1 - estimateRisk(pace, work, USUAL_REST_MS));
    const own = Math.max(lateNow, estimateRisk(pace, work, answerMs));
    return (others + own) * LATE_STREAM_MS + (work.memoryPart > MAX_MEMORY_PART ? OUT_OF_MEMORY_MS : 0);
}

/** Estimates the chance that a stream becomes late by prompts that come while it runs. */
function estimateRisk(pace: EnginePace, work: GenerationWork, runsMs: number): number {
    const fullTokens = work.eventTokens * CHUNK_TOKENS;
    const lateShare = estimateLatePauses({ ...work, pace, promptTokens: fullTokens });
    const longPrompts = work.promptTokensPerS * runsMs / MS_PER_S / fullTokens;
    return 1 - Math.exp(-lateShare * longPrompts);
}
