/** How an engine has answered lately, as one host saw it. */
export interface EngineHealth {
    /** Share of exchanges that failed, from 0 to 1; newer ones weigh more. */
    readonly failureShare: number;
    /** Usual time to the first byte of an answer, in milliseconds; undefined before the first answer. */
    readonly firstByteMs: number | undefined;
    /** No new request goes there before this time while another engine is left. */
    readonly blockedUntilMs: number;
    /** Connections that failed since the last answer. */
    readonly unreachableCount: number;
    readonly changedAtMs: number;
}

/** What a host sees of an engine. */
export type HealthMessage =
    | { readonly kind: "answered"; readonly firstByteMs: number; readonly atMs: number }
    /** An error answer, a broken answer, or one that belongs to another request. */
    | { readonly kind: "failed"; readonly atMs: number }
    /** No connection could be opened. */
    | { readonly kind: "unreachable"; readonly atMs: number }
    /** The engine refused without running. */
    | { readonly kind: "shed"; readonly atMs: number };

/** An engine of which nothing is known. */
export const UNKNOWN_HEALTH: EngineHealth = {
    failureShare: 0,
    firstByteMs: undefined,
    blockedUntilMs: 0,
    unreachableCount: 0,
    changedAtMs: 0,
};

/** Weight of the newest exchange in the averages. */
const NEWEST_WEIGHT = 0.2;
/** Time in which half of a bad record is forgotten, in milliseconds; brings an engine back slowly. */
const FORGET_HALF_MS = 4000;
/** First pause after a failed connection, in milliseconds; doubles up to the longest. */
const FIRST_PAUSE_MS = 250;
/** Longest pause after failed connections, in milliseconds. */
const LONGEST_PAUSE_MS = 2000;
/** Pause after a refusal for want of room, in milliseconds. */
const SHED_PAUSE_MS = 40;

/**
 * Takes an exchange into an engine's record.
 *
 * @param health - The record
 * @param message - What the host saw
 * @returns the record as it is now
 *
 * @example
 * const next = reduceHealth(UNKNOWN_HEALTH, { kind: "failed", atMs: 20 });
 */
export function reduceHealth(health: EngineHealth, message: HealthMessage): EngineHealth {
    const { atMs } = message;
    const faded = fadeHealth(health, atMs);
    switch (message.kind) {
        case "answered":
            return {
                failureShare: faded.failureShare * (1 - NEWEST_WEIGHT),
                firstByteMs: faded.firstByteMs === undefined
                    ? message.firstByteMs
                    : faded.firstByteMs * (1 - NEWEST_WEIGHT) + message.firstByteMs * NEWEST_WEIGHT,
                blockedUntilMs: 0,
                unreachableCount: 0,
                changedAtMs: atMs,
            };
        case "failed":
            return {
                ...faded,
                failureShare: faded.failureShare * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT,
                changedAtMs: atMs,
            };
        case "unreachable": {
            const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** faded.unreachableCount);
            return {
                ...faded,
                blockedUntilMs: atMs + pauseMs,
                unreachableCount: faded.unreachableCount + 1,
                changedAtMs: atMs,
            };
        }
        case "shed":
            return {
                ...faded,
                blockedUntilMs: Math.max(faded.blockedUntilMs, atMs + SHED_PAUSE_MS),
                changedAtMs: atMs,
            };
    }
}

/**
 * Forgets part of an engine's bad record as time passes.
 *
 * @param health - The record
 * @param atMs - Time now, in milliseconds
 * @returns the record with its failures faded
 *
 * @example
 * const now = fadeHealth(health, clock.nowMs());
 */
export function fadeHealth(health: EngineHealth, atMs: number): EngineHealth {
    const left = 0.5 ** (Math.max(0, atMs - health.changedAtMs) / FORGET_HALF_MS);
    return { ...health, failureShare: health.failureShare * left };
}
