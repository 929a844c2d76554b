/** Recent health of an engine as observed by one host. */
export interface EngineHealth {
    /** Share of exchanges that failed, from 0 to 1; recent ones have more weight. */
    readonly failureShare: number;
    /** Average time to the first byte, in milliseconds; undefined before the first answer. */
    readonly firstByteMs: number | undefined;
    /** Until when the engine gets no new request while another engine is available, in milliseconds. */
    readonly blockedUntilMs: number;
    /** Failed connection attempts since the last answer. */
    readonly unreachableCount: number;
    readonly changedAtMs: number;
}

/** Outcome of an exchange with an engine. */
export type HealthMessage =
    | { readonly kind: "answered"; readonly firstByteMs: number; readonly atMs: number }
    /** An error answer, an incomplete answer, or an answer to another request. */
    | { readonly kind: "failed"; readonly atMs: number }
    /** No connection could be opened. */
    | { readonly kind: "unreachable"; readonly atMs: number }
    /** A connection could be opened again. */
    | { readonly kind: "reached"; readonly atMs: number }
    /** The engine rejected the request without running it. */
    | { readonly kind: "shed"; readonly atMs: number };

/** Health of an engine that has not been used yet. */
export const UNKNOWN_HEALTH: EngineHealth = {
    failureShare: 0,
    firstByteMs: undefined,
    blockedUntilMs: 0,
    unreachableCount: 0,
    changedAtMs: 0,
};

/** Weight of the newest exchange in the moving averages. */
const NEWEST_WEIGHT = 0.2;
/** Half-life of an engine's failure share, in milliseconds; lets a failed engine recover slowly. */
const FAILURE_HALF_LIFE_MS = 4000;
/** Pause after the first failed connection, in milliseconds; doubles with each further failure. */
const MIN_PAUSE_MS = 250;
/** Maximum pause after failed connections, in milliseconds. */
const MAX_PAUSE_MS = 2000;
/** Pause after the engine rejected a request for lack of capacity, in milliseconds. */
const SHED_PAUSE_MS = 40;

/**
 * Updates an engine's health with the outcome of an exchange.
 *
 * @param health - Health so far
 * @param message - Outcome of the exchange
 * @returns the updated health
 *
 * @example
 * const next = reduceHealth(UNKNOWN_HEALTH, { kind: "failed", atMs: 20 });
 */
export function reduceHealth(health: EngineHealth, message: HealthMessage): EngineHealth {
    const { atMs } = message;
    const decayed = decayHealth(health, atMs);
    switch (message.kind) {
        case "answered":
            return {
                failureShare: decayed.failureShare * (1 - NEWEST_WEIGHT),
                firstByteMs: decayed.firstByteMs === undefined
                    ? message.firstByteMs
                    : decayed.firstByteMs * (1 - NEWEST_WEIGHT) + message.firstByteMs * NEWEST_WEIGHT,
                blockedUntilMs: 0,
                unreachableCount: 0,
                changedAtMs: atMs,
            };
        case "failed":
            return {
                ...decayed,
                failureShare: decayed.failureShare * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT,
                changedAtMs: atMs,
            };
        case "unreachable": {
            const pauseMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** decayed.unreachableCount);
            return {
                ...decayed,
                blockedUntilMs: atMs + pauseMs,
                unreachableCount: decayed.unreachableCount + 1,
                changedAtMs: atMs,
            };
        }
        case "reached":
            return { ...decayed, blockedUntilMs: 0, unreachableCount: 0, changedAtMs: atMs };
        case "shed":
            return {
                ...decayed,
                blockedUntilMs: Math.max(decayed.blockedUntilMs, atMs + SHED_PAUSE_MS),
                changedAtMs: atMs,
            };
    }
}

/**
 * Decays an engine's failure share by the time since the last change.
 *
 * @param health - Health so far
 * @param atMs - Current time, in milliseconds
 * @returns the health with the failure share decayed
 *
 * @example
 * const now = decayHealth(health, clock.nowMs());
 */
export function decayHealth(health: EngineHealth, atMs: number): EngineHealth {
    const decayFactor = 0.5 ** (Math.max(0, atMs - health.changedAtMs) / FAILURE_HALF_LIFE_MS);
    return { ...health, failureShare: health.failureShare * decayFactor };
}
