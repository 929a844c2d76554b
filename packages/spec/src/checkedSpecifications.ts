import { CHECKED_IDEMPOTENCY } from "./checkedIdempotency.js";
import type { CheckedSpecification } from "./specification.js";

/** Every specification that `check:model` explores. */
export const CHECKED_SPECIFICATIONS: readonly CheckedSpecification[] = [...CHECKED_IDEMPOTENCY];
