import type { IdempotencyDefect } from "./idempotencyDefect.js";
import { listIdempotencyEvents } from "./idempotencyEvent.js";
import type { IdempotencyEvent } from "./idempotencyEvent.js";
import { createIdempotencyModel } from "./idempotencyModel.js";
import type { IdempotencyModel } from "./idempotencyModel.js";
import { normalizeIdempotency } from "./normalizeIdempotency.js";
import type { Invariant, Specification } from "./specification.js";
import { stepIdempotency } from "./stepIdempotency.js";

/** Bounds of an exploration of the idempotency model. */
export interface IdempotencyBounds {
    /** Request body of each attempt. */
    readonly bodies: readonly ("x" | "y")[];
    /** Maximum number of faults in one trace. */
    readonly faults: number;
    readonly defect: IdempotencyDefect | undefined;
}

/** Maximum number of states to explore. */
const STATE_LIMIT = 200_000;

const INVARIANTS: readonly Invariant<IdempotencyModel>[] = [
    {
        name: "at most one run a key",
        check: model => {
            const runs = model.attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
            return runs > 1 ? `${runs} runs` : undefined;
        },
    },
    {
        name: "not_run is never said of what ran",
        check: model =>
            describeFailedAttempt(
                model,
                (attempt, at) =>
                    attempt.runs > 0 && (attempt.outcome === "not_run" || attempt.reply?.kind === "unavailable")
                    || attempt.reply?.kind === "unavailable" && model.committedNonces.includes(`n${at}`),
            ),
    },
    {
        name: "nothing starts without a committed claim",
        check: model =>
            describeFailedAttempt(
                model,
                (attempt, at) => attempt.runs > 0 && !model.committedNonces.includes(`n${at}`),
            ),
    },
    {
        name: "a spent key never starts",
        check: model =>
            describeFailedAttempt(
                model,
                (attempt, at) =>
                    attempt.phase === "granted"
                    && model.attempts.some((other, index) => index !== at && other.runs > 0),
            ),
    },
    {
        name: "another body is told key_reused",
        check: model =>
            describeFailedAttempt(
                model,
                attempt =>
                    attempt.body === "y" && REPLIES_ABOUT_OTHER_CLAIMS.has(attempt.reply?.kind ?? "")
                    && model.attempts.every(other => other === attempt || other.body === "x"),
            ),
    },
    {
        name: "a claim is not held against itself",
        check: model =>
            describeFailedAttempt(
                model,
                (attempt, at) =>
                    REPLIES_ABOUT_OTHER_CLAIMS.has(attempt.reply?.kind ?? "")
                    && !model.committedNonces.some(nonce => nonce !== `n${at}`),
            ),
    },
    {
        name: "a replay is the answer of the run",
        check: model =>
            describeFailedAttempt(
                model,
                attempt =>
                    attempt.reply?.kind === "replay" && attempt.reply.answer.kind === "generation"
                    && model.attempts[Number(attempt.reply.answer.text.slice(1))]?.runs !== 1,
            ),
    },
];

/** Reply kinds that say that another claim already holds or held the key. */
const REPLIES_ABOUT_OTHER_CLAIMS: ReadonlySet<string> = new Set(["ran", "replay", "unknown", "in_progress"]);

/**
 * Specifies requests with an idempotency key: two hosts serve one partition, and a caller reuses one key.
 *
 * @param bounds - Attempts, faults and the defect that is switched on, if any
 * @returns the specification
 *
 * @example
 * exploreSpecification(idempotencySpecification({ bodies: ["x", "x"], faults: 2, defect: undefined }));
 */
export function idempotencySpecification(
    bounds: IdempotencyBounds,
): Specification<IdempotencyModel, IdempotencyEvent> {
    return {
        name: "idempotency",
        initial: createIdempotencyModel(bounds.bodies, bounds.faults),
        listEvents: listIdempotencyEvents,
        step: (model, event) => normalizeIdempotency(stepIdempotency(model, event, bounds.defect)),
        invariants: INVARIANTS,
        stateLimit: STATE_LIMIT,
    };
}

function describeFailedAttempt(
    model: IdempotencyModel,
    isWrong: (attempt: IdempotencyModel["attempts"][number], at: number) => boolean,
): string | undefined {
    const at = model.attempts.findIndex(isWrong);
    return at < 0 ? undefined : `attempt ${at}`;
}
