export { checkAnswers } from "./checkAnswers.js";
export type { EngineRecord } from "./checkAnswers.js";
export { createLoopbackProxy } from "./createLoopbackProxy.js";
export type { LinkMode, LoopbackProxy } from "./createLoopbackProxy.js";
export { planFaults } from "./planFaults.js";
export type { Fault, FaultKind, FaultRange, PlannedFault } from "./planFaults.js";
export { runSoak } from "./runSoak.js";
export type { SoakOptions, SoakReport } from "./runSoak.js";
