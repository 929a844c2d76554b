import type { IdempotencyDefect } from "./idempotencyDefect.js";
import { listIdempotencyEvents } from "./idempotencyEvent.js";
import type { IdempotencyEvent } from "./idempotencyEvent.js";
import { createIdempotencyWorld } from "./idempotencyWorld.js";
import type { IdempotencyWorld } from "./idempotencyWorld.js";
import { normalizeIdempotency } from "./normalizeIdempotency.js";
import type { Invariant, Specification } from "./specification.js";
import { stepIdempotency } from "./stepIdempotency.js";

/** Bounds of an exploration. */
export interface IdempotencyBounds {
    /** Body of each attempt. */
    readonly bodies: readonly ("x" | "y")[];
    readonly faults: number;
    readonly defect: IdempotencyDefect | undefined;
}

const STATE_LIMIT = 200_000;

const INVARIANTS: readonly Invariant<IdempotencyWorld>[] = [
    {
        name: "at most one run a key",
        check: world => {
            const runs = world.attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
            return runs > 1 ? `${runs} runs` : undefined;
        },
    },
    {
        name: "not_run is never said of what ran",
        check: world =>
            findAttempt(
                world,
                (attempt, at) =>
                    attempt.runs > 0 && (attempt.outcome === "not_run" || attempt.told?.kind === "unavailable")
                    || attempt.told?.kind === "unavailable" && world.committed.includes(`n${at}`),
            ),
    },
    {
        name: "nothing starts without a committed claim",
        check: world => findAttempt(world, (attempt, at) => attempt.runs > 0 && !world.committed.includes(`n${at}`)),
    },
    {
        name: "a spent key never starts",
        check: world =>
            findAttempt(
                world,
                (attempt, at) =>
                    attempt.phase === "granted"
                    && world.attempts.some((other, index) => index !== at && other.runs > 0),
            ),
    },
    {
        name: "another body is told key_reused",
        check: world =>
            findAttempt(
                world,
                attempt =>
                    attempt.body === "y" && TELLS_OF_ANOTHER.has(attempt.told?.kind ?? "")
                    && world.attempts.every(other => other === attempt || other.body === "x"),
            ),
    },
    {
        name: "a claim is not held against itself",
        check: world =>
            findAttempt(
                world,
                (attempt, at) =>
                    TELLS_OF_ANOTHER.has(attempt.told?.kind ?? "")
                    && !world.committed.some(nonce => nonce !== `n${at}`),
            ),
    },
    {
        name: "a replay is the answer of the run",
        check: world =>
            findAttempt(world, attempt =>
                attempt.told?.kind === "replay" && attempt.told.answer.kind === "generation"
                && world.attempts[Number(attempt.told.answer.text.slice(1))]?.runs !== 1),
    },
];

const TELLS_OF_ANOTHER: ReadonlySet<string> = new Set(["ran", "replay", "unknown", "in_progress"]);

/**
 * Gives the specification of keyed requests: two hosts serve one partition, a caller repeats one key.
 *
 * @param bounds - Attempts, faults and the defect that is switched on
 * @returns the specification
 *
 * @example
 * exploreSpecification(idempotencySpecification({ bodies: ["x", "x"], faults: 2, defect: undefined }));
 */
export function idempotencySpecification(
    bounds: IdempotencyBounds,
): Specification<IdempotencyWorld, IdempotencyEvent> {
    return {
        name: "idempotency",
        initial: createIdempotencyWorld(bounds.bodies, bounds.faults),
        listEvents: listIdempotencyEvents,
        step: (world, event) => normalizeIdempotency(stepIdempotency(world, event, bounds.defect)),
        invariants: INVARIANTS,
        limit: STATE_LIMIT,
    };
}

function findAttempt(
    world: IdempotencyWorld,
    isWrong: (attempt: IdempotencyWorld["attempts"][number], at: number) => boolean,
): string | undefined {
    const at = world.attempts.findIndex(isWrong);
    return at < 0 ? undefined : `attempt ${at}`;
}
