export { boundStalls } from "./boundStalls.js";
export { createTrace } from "./createTrace.js";
export type { TraceOptions, TraceRequest } from "./createTrace.js";
export { DEPLOYMENTS } from "./deployment.js";
export { replayPlacement } from "./replayPlacement.js";
export { runPolicy } from "./runPolicy.js";
export { SCENARIO_NAMES } from "./scenario.js";
export { summarizeTimes } from "./summarizeTimes.js";
