import { MISDIRECTED } from "@fulmarcleat/directory";
import type { Outcome } from "@fulmarcleat/errors";
import type { EngineId } from "@fulmarcleat/ids";
import { giveUp } from "./giveUp.js";
import type { ExchangeResult } from "./runExchange.js";

/** An answer that has not gone to the client so far. */
export type GatheredAnswer = Extract<ExchangeResult, { kind: "answer" }>;

/** How a request ended. */
export type RequestEnd =
    /** The answer has gone to the client. */
    | { readonly kind: "relayed" }
    | { readonly kind: "answer"; readonly result: GatheredAnswer }
    | {
        readonly kind: "gave_up";
        readonly outcome: Outcome;
        readonly reason: GiveUpReason;
        /** When it might be served, in milliseconds. */
        readonly readyInMs: number;
    };

/** Why a request was given up. */
export type GiveUpReason = "no_engine" | "no_room" | "overloaded" | "refused" | "broken" | "no_retry_left" | "ended";

/** What a request has tried so far. */
export interface RequestProgress {
    /** Attempts that may have reached an engine. */
    readonly sends: number;
    /** Engines that it was sent to. */
    readonly tried: ReadonlySet<EngineId>;
    /** Engines that it does not go to again. */
    readonly passedOver: ReadonlySet<EngineId>;
    readonly outcomes: readonly Outcome[];
    /** The engine that was asked last lacks the adapter. */
    readonly isMissing: boolean;
    /** An engine's failure, passed on where nothing better comes. */
    readonly failedAnswer: GatheredAnswer | undefined;
}

/** A request that has tried nothing. */
export const NOTHING_TRIED: RequestProgress = {
    sends: 0,
    tried: new Set(),
    passedOver: new Set(),
    outcomes: [],
    isMissing: false,
    failedAnswer: undefined,
};

/** One attempt and what the route allows after it. */
export interface Attempt {
    readonly engine: EngineId;
    readonly result: ExchangeResult;
    /** Whether the request may run again. */
    readonly mayRepeat: boolean;
    /** Whether another engine may give the answer in place of one that failed. */
    readonly mayReplaceFailure: boolean;
}

/** What follows from an attempt. */
export type AttemptOutcome =
    | { readonly kind: "over"; readonly end: RequestEnd }
    | { readonly kind: "again"; readonly progress: RequestProgress; readonly pauseMs: number };

/** Pause before an engine that refused is asked again, in milliseconds. */
const REFUSED_PAUSE_MS = 45;

/**
 * Decides what follows from an attempt: the request is over, or it is tried again, and what is known of it then.
 *
 * @param progress - What the request has tried before
 * @param attempt - The attempt and what the route allows
 * @returns the end, or what was tried so far
 *
 * @example
 * const next = applyAttempt(NOTHING_TRIED, { engine, result, mayRepeat: false, mayReplaceFailure: false });
 */
export function applyAttempt(progress: RequestProgress, attempt: Attempt): AttemptOutcome {
    const { engine, result } = attempt;
    const again = (changed: Partial<RequestProgress>, pauseMs = 0): AttemptOutcome => ({
        kind: "again",
        progress: { ...progress, isMissing: false, ...changed },
        pauseMs,
    });
    const reach = (outcome: Outcome): RequestProgress => ({
        ...progress,
        sends: progress.sends + 1,
        tried: new Set(progress.tried).add(engine),
        outcomes: [...progress.outcomes, outcome],
    });
    const passedOver = new Set(progress.passedOver).add(engine);
    switch (result.kind) {
        case "relayed":
            return { kind: "over", end: { kind: "relayed" } };
        case "answer":
            return attempt.mayReplaceFailure
                ? again({ ...reach("ran"), failedAnswer: result, passedOver })
                : { kind: "over", end: { kind: "answer", result } };
        case "not_run": {
            const isMissing = result.status === MISDIRECTED && !result.isReplaced;
            return again({ ...reach("not_run"), isMissing }, REFUSED_PAUSE_MS);
        }
        case "unsent":
            return again({ passedOver });
        case "broken":
            return attempt.mayRepeat
                ? again({ ...reach("unknown"), passedOver })
                : { kind: "over", end: giveUp(reach("unknown"), "broken", 0) };
        case "cancelled":
            return { kind: "over", end: giveUp(reach("unknown"), "ended", 0) };
    }
}
