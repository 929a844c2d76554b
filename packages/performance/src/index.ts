export { computeMedians, NO_MEDIANS } from "./computeMedians.js";
export type { PaceMedians } from "./computeMedians.js";
export { estimatePace } from "./estimatePace.js";
export type { PaceDefaults, UsualPace } from "./estimatePace.js";
export type { LearnedPace } from "./learnedPace.js";
export {
    fadeLearned,
    HOST_SAMPLES,
    OWNER_SAMPLES,
    reducePerformance,
    UNKNOWN_PERFORMANCE,
} from "./reducePerformance.js";
export type { EnginePerformance, PerformanceSample } from "./reducePerformance.js";
export { readSlowdown, reduceWorkFactor, UNKNOWN_WORK_FACTOR } from "./reduceWorkFactor.js";
export type { WorkFactor } from "./reduceWorkFactor.js";
export { summarizeGaps } from "./summarizeGaps.js";
