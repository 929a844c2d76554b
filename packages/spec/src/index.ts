export { CHECKED_SPECIFICATIONS } from "./checkedSpecifications.js";
export { exploreSpecification } from "./exploreSpecification.js";
export { formatExploration } from "./formatExploration.js";
export type * from "./specification.js";
