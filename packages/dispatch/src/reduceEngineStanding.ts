import type { EngineNotice } from "@fulmarcleat/directory";

/** What an engine has said to this host of further work, and how far it takes work again after a pause. */
export interface EngineStanding {
    /** Whether it has said that it leaves. */
    readonly isLeaving: boolean;
    /** Clock reading from which it wants requests again, in milliseconds; -Infinity if it has named no pause. */
    readonly pausedUntilMs: number;
    /** Requests that this host may send now; Infinity unless the engine has come back from a pause. */
    readonly credit: number;
}

/** What happened between this host and an engine. */
export type StandingMessage =
    /** An answer said something of further work. */
    | { readonly kind: "noticed"; readonly notice: EngineNotice; readonly atMs: number }
    /** A request was sent. */
    | { readonly kind: "sent" }
    /** The engine began to answer a request that was sent at `sentMs`, without turning it away. */
    | { readonly kind: "accepted"; readonly sentMs: number }
    /** A request that was sent at `sentMs` ended without such an answer. */
    | { readonly kind: "failed"; readonly sentMs: number };

/** Why an engine gets no request from this host. */
export type EngineClosure =
    | { readonly kind: "leaving" }
    | { readonly kind: "paused"; readonly untilMs: number }
    /** The engine has come back from a pause and has yet to answer what it got since. */
    | { readonly kind: "recovering" };

/** Longest pause that an engine is given, in milliseconds. */
const MAX_PAUSE_MS = 600_000;
/** Further requests that an answer after a pause allows: the one that it answers, and another. */
const CREDIT_PER_ANSWER = 2;
/** Requests from which on an engine that has come back counts as recovered. */
const RECOVERED_CREDIT = 16;

/** Standing of an engine that has said nothing. */
export const OPEN_STANDING: EngineStanding = { isLeaving: false, pausedUntilMs: -Infinity, credit: Infinity };

/**
 * Updates what an engine has said of further work.
 *
 * @param standing - The standing so far
 * @param message - What happened
 * @returns the updated standing
 *
 * @example
 * const next = reduceEngineStanding(OPEN_STANDING, { kind: "noticed", notice, atMs: clock.nowMs() });
 */
export function reduceEngineStanding(standing: EngineStanding, message: StandingMessage): EngineStanding {
    switch (message.kind) {
        case "noticed":
            return applyNotice(standing, message.notice, message.atMs);
        case "sent":
            return standing.credit === Infinity ? standing : { ...standing, credit: standing.credit - 1 };
        case "accepted":
            return addCredit(standing, CREDIT_PER_ANSWER, message.sentMs);
        case "failed":
            return addCredit(standing, 1, message.sentMs);
    }
}

/**
 * Returns why an engine gets no request from this host.
 *
 * @param standing - What the engine has said
 * @param atMs - Current time, in milliseconds
 * @returns the reason; undefined if the engine may get a request
 *
 * @example
 * const isOpen = findEngineClosure(standing, clock.nowMs()) === undefined;
 */
export function findEngineClosure(
    { isLeaving, pausedUntilMs, credit }: EngineStanding,
    atMs: number,
): EngineClosure | undefined {
    if (isLeaving) {
        return { kind: "leaving" };
    }
    if (atMs < pausedUntilMs) {
        return { kind: "paused", untilMs: pausedUntilMs };
    }
    return credit < 1 ? { kind: "recovering" } : undefined;
}

function applyNotice(standing: EngineStanding, { isLeaving, pause }: EngineNotice, atMs: number): EngineStanding {
    const untilMs = pause?.kind === "time" ? atMs + Math.min(pause.forMs, MAX_PAUSE_MS) : -Infinity;
    const isPaused = untilMs > atMs;
    return {
        isLeaving: standing.isLeaving || isLeaving,
        // Each pause that the engine has named holds, so a shorter one doesn't end a longer one.
        pausedUntilMs: isPaused ? Math.max(standing.pausedUntilMs, untilMs) : standing.pausedUntilMs,
        credit: isPaused ? 1 : standing.credit,
    };
}

/** Adds what an answer to a request allows; requests from before the end of the pause say nothing of what came after. */
function addCredit(standing: EngineStanding, added: number, sentMs: number): EngineStanding {
    if (standing.credit === Infinity || sentMs < standing.pausedUntilMs) {
        return standing;
    }
    const credit = standing.credit + added;
    return { ...standing, credit: credit >= RECOVERED_CREDIT ? Infinity : credit };
}
