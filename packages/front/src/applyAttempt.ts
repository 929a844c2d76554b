import { MISDIRECTED } from "@fulmarcleat/directory";
import type { Outcome } from "@fulmarcleat/errors";
import type { EngineId } from "@fulmarcleat/ids";
import { giveUp } from "./giveUp.js";
import type { ExchangeResult } from "./runExchange.js";

/** An engine's complete answer, held in memory and not yet sent to the client. */
export type BufferedAnswer = Extract<ExchangeResult, { kind: "answer" }>;

/** An engine's answer that has been sent to the client. */
export type RelayedAnswer = Extract<ExchangeResult, { kind: "relayed" }>;

/** How a request ended. */
export type RequestEnd =
    /** The answer has been sent to the client. */
    | { readonly kind: "relayed"; readonly result: RelayedAnswer }
    | { readonly kind: "answer"; readonly result: BufferedAnswer }
    | {
        readonly kind: "gave_up";
        readonly outcome: Outcome;
        readonly reason: GiveUpReason;
        /** Number of attempts that may have reached an engine. */
        readonly sends: number;
        /** Expected time until the request could be served, in milliseconds. */
        readonly readyInMs: number;
    };

/** Why no further attempt is made. */
export type GiveUpReason =
    | "no_engine"
    | "no_room"
    /** This host reaches no engine of the service, and no other host took the request. */
    | "no_path"
    /** All engines have reached the limits that they name. */
    | "limited"
    /** All engines that it may go to have asked for a pause, or have just come back from one. */
    | "paused"
    | "overloaded"
    | "refused"
    | "broken"
    | "no_retry_left"
    | "ended"
    /** This host stops before the request's end. */
    | "stopping"
    /** A part of its prompt crashes engines. */
    | "quarantined_prompt"
    /** It crashes engines itself, whatever its prompt. */
    | "quarantined_request"
    /** No engine of the software version that began the stream is left. */
    | "version_gone"
    /** It is not known which software version began the stream. */
    | "unknown_origin";

/** State of a request between its attempts. */
export interface RequestProgress {
    /** Number of attempts that may have reached an engine. */
    readonly sends: number;
    /** Engines that the request was sent to. */
    readonly tried: ReadonlySet<EngineId>;
    /** Engines that are not tried again for this request. */
    readonly excluded: ReadonlySet<EngineId>;
    /** Outcomes of the attempts that may have reached an engine, oldest first. */
    readonly outcomes: readonly Outcome[];
    /** Whether the last engine refused because it does not hold the adapter. */
    readonly isMissing: boolean;
    /** An engine's failed answer, sent to the client if no later attempt succeeds. */
    readonly failedAnswer: BufferedAnswer | undefined;
}

/** State of a request before its first attempt. */
export const NO_ATTEMPTS: RequestProgress = {
    sends: 0,
    tried: new Set(),
    excluded: new Set(),
    outcomes: [],
    isMissing: false,
    failedAnswer: undefined,
};

/** One attempt and what its route allows afterwards. */
export interface Attempt {
    readonly engine: EngineId;
    readonly result: ExchangeResult;
    /** Whether the request may be sent again after an attempt that may have run. */
    readonly mayRetry: boolean;
    /** Whether a failed answer may be replaced by another engine's answer. */
    readonly mayFailOver: boolean;
}

/** What to do after an attempt: end the request or try again. */
export type AttemptOutcome =
    | { readonly kind: "over"; readonly end: RequestEnd }
    | { readonly kind: "again"; readonly progress: RequestProgress; readonly pauseMs: number };

/** Delay before an engine that refused a request is tried again, in milliseconds. */
const REFUSED_RETRY_DELAY_MS = 45;

/**
 * Decides whether a request ends or is tried again after an attempt, and updates its state.
 *
 * @param progress - State of the request before the attempt
 * @param attempt - Result of the attempt and what the route allows
 * @returns how the request ended, or its state before the next attempt
 *
 * @example
 * const next = applyAttempt(NO_ATTEMPTS, { engine, result, mayRetry: false, mayFailOver: false });
 */
export function applyAttempt(progress: RequestProgress, attempt: Attempt): AttemptOutcome {
    const { engine, result } = attempt;
    const retryWith = (changed: Partial<RequestProgress>, pauseMs = 0): AttemptOutcome => ({
        kind: "again",
        progress: { ...progress, isMissing: false, ...changed },
        pauseMs,
    });
    const recordSend = (outcome: Outcome): RequestProgress => ({
        ...progress,
        sends: progress.sends + 1,
        tried: new Set(progress.tried).add(engine),
        outcomes: [...progress.outcomes, outcome],
    });
    const excluded = new Set(progress.excluded).add(engine);
    switch (result.kind) {
        case "relayed":
            return { kind: "over", end: { kind: "relayed", result } };
        case "answer":
            return attempt.mayFailOver
                ? retryWith({ ...recordSend("ran"), failedAnswer: result, excluded })
                : { kind: "over", end: { kind: "answer", result } };
        case "not_run": {
            const isMissing = result.status === MISDIRECTED && !result.isReplaced;
            return retryWith({ ...recordSend("not_run"), isMissing }, REFUSED_RETRY_DELAY_MS);
        }
        case "unsent":
            return retryWith({ excluded });
        case "broken":
        case "discarded":
            return attempt.mayRetry
                ? retryWith({ ...recordSend("unknown"), excluded })
                : { kind: "over", end: giveUp(recordSend("unknown"), "broken", 0) };
        case "cancelled":
            return { kind: "over", end: giveUp(recordSend("unknown"), "ended", 0) };
    }
}
