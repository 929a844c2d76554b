import { exploreSpecification } from "./exploreSpecification.js";
import { IDEMPOTENCY_DEFECTS } from "./idempotencyDefect.js";
import type { IdempotencyDefect } from "./idempotencyDefect.js";
import { idempotencySpecification } from "./idempotencySpecification.js";
import type { IdempotencyBounds } from "./idempotencySpecification.js";
import type { CheckedSpecification, Exploration } from "./specification.js";

/** Bounds of the two explorations: a repeat of the request, and another request under its key. */
const REPEAT_BOUNDS: IdempotencyBounds = { bodies: ["x", "x"], faults: 2, defect: undefined };
const REUSE_BOUNDS: IdempotencyBounds = { bodies: ["x", "y"], faults: 1, defect: undefined };
/** One fault is enough for each defect to show. */
const DEFECT_FAULTS = 1;

/** The explorations of keyed requests. */
export const CHECKED_IDEMPOTENCY: readonly CheckedSpecification[] = [
    {
        name: "idempotency, repeated request",
        explore: () => explore("idempotency, repeated request", REPEAT_BOUNDS),
        defects: IDEMPOTENCY_DEFECTS.filter(defect => !needsOtherBody(defect)).map(defect => ({
            name: defect,
            explore: () => explore(defect, { ...REPEAT_BOUNDS, faults: DEFECT_FAULTS, defect }),
        })),
    },
    {
        name: "idempotency, reused key",
        explore: () => explore("idempotency, reused key", REUSE_BOUNDS),
        defects: IDEMPOTENCY_DEFECTS.filter(needsOtherBody).map(defect => ({
            name: defect,
            explore: () => explore(defect, { ...REUSE_BOUNDS, faults: DEFECT_FAULTS, defect }),
        })),
    },
];

function explore(name: string, bounds: IdempotencyBounds): Exploration {
    return { ...exploreSpecification(idempotencySpecification(bounds)), name };
}

function needsOtherBody(defect: IdempotencyDefect): boolean {
    return defect === "skip the body hash";
}
