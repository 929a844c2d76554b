import type { EnginePace } from "./engineView.js";

/** What decides how long the events of streams pause while an engine processes prompts. */
export interface PauseTerms {
    readonly pace: EnginePace;
    /** Prompt tokens that the engine processes without a break. */
    readonly promptTokens: number;
    /** Tokens in one event of a stream. */
    readonly eventTokens: number;
    /** Longest pause between two events with which a stream is on time, in milliseconds. */
    readonly maxPauseMs: number;
}

/** Most prompt tokens that an engine processes between two tokens of a stream; engines read prompts in such chunks. */
export const CHUNK_TOKENS = 2048;
/**
 * Expected pause as a part of the longest allowed one from which streams may be late. An engine that shares its machine
 * may be more than twice as slow for a part of the time.
 */
const RISK_PART = 0.4;
/** Expected pause as a part of the longest allowed one from which streams are late for certain. */
const CERTAIN_PART = 1.2;

/**
 * Estimates the share of an engine's streams whose next event comes too late while it processes prompts. Between two
 * events it makes `eventTokens` tokens for each stream, and processes a chunk of a prompt before each of them.
 *
 * @param terms - Speed of the engine, prompt tokens, tokens in an event and the longest allowed pause
 * @returns the share, from 0 to 1
 *
 * @example
 * const lateShare = estimateLatePauses({ pace, promptTokens: 9000, eventTokens: 5, maxPauseMs: 400 });
 */
export function estimateLatePauses({ pace, promptTokens, eventTokens, maxPauseMs }: PauseTerms): number {
    const tokensPerMs = pace.promptTokensPerMs / pace.slowdown;
    const pauseMs = pace.eventMs * pace.slowdown + Math.min(promptTokens, eventTokens * CHUNK_TOKENS) / tokensPerMs;
    const excess = (pauseMs / maxPauseMs - RISK_PART) / (CERTAIN_PART - RISK_PART);
    return Math.min(1, Math.max(0, excess));
}
