export * from "./brandId.js";
export type { CancelTimer, Clock } from "./clock.js";
export { createId } from "./createId.js";
export { createManualClock } from "./createManualClock.js";
export type { ManualClock } from "./createManualClock.js";
export { createRandom } from "./createRandom.js";
export type { Random } from "./createRandom.js";
export { createSystemClock } from "./createSystemClock.js";
export { sleep } from "./sleep.js";
