import { CHECKED_IDEMPOTENCY } from "./checkedIdempotency.js";
import { CONFIG_SPECIFICATIONS } from "./configSpecifications.js";
import { ORDER_RIGHT_SPECIFICATIONS } from "./exploreOrderRight.js";
import { OWNERSHIP_SPECIFICATIONS } from "./exploreOwnership.js";
import { PLATFORM_OWNERSHIP_SPECIFICATIONS } from "./explorePlatformOwnership.js";
import type { CheckedSpecification } from "./specification.js";

/** Every specification that `npm run check:model` explores. */
export const CHECKED_SPECIFICATIONS: readonly CheckedSpecification[] = [
    ...CHECKED_IDEMPOTENCY,
    ...CONFIG_SPECIFICATIONS,
    ...OWNERSHIP_SPECIFICATIONS,
    ...PLATFORM_OWNERSHIP_SPECIFICATIONS,
    ...ORDER_RIGHT_SPECIFICATIONS,
];
