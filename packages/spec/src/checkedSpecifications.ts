import { CONFIG_SPECIFICATIONS } from "./configSpecifications.js";
import type { CheckedSpecification } from "./specification.js";

/** Every specification that `check:model` explores. */
export const CHECKED_SPECIFICATIONS: readonly CheckedSpecification[] = [...CONFIG_SPECIFICATIONS];
