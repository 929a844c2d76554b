import { exploreSpecification } from "./exploreSpecification.js";
import { IDEMPOTENCY_DEFECTS } from "./idempotencyDefect.js";
import type { IdempotencyDefect } from "./idempotencyDefect.js";
import { idempotencySpecification } from "./idempotencySpecification.js";
import type { IdempotencyBounds } from "./idempotencySpecification.js";
import type { CheckedSpecification, Exploration } from "./specification.js";

/** Bounds of the exploration in which the caller repeats its request. */
const REPEAT_BOUNDS: IdempotencyBounds = { bodies: ["x", "x"], faults: 2, defect: undefined };
/** Bounds of the exploration in which the caller sends another request under the same key. */
const REUSE_BOUNDS: IdempotencyBounds = { bodies: ["x", "y"], faults: 1, defect: undefined };
/** Maximum number of faults in the search for a defect; one fault is enough to expose each of them. */
const DEFECT_FAULTS = 1;

/** Specifications of requests with an idempotency key, with their defects. */
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
