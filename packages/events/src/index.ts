export { createEventLog } from "./createEventLog.js";
export type { EventFields, EventLevel, EventLog, EventLogOptions } from "./createEventLog.js";
export { createJsonLog } from "./createJsonLog.js";
export type { JsonLogOptions, LineSink } from "./createJsonLog.js";
export { createMetrics } from "./createMetrics.js";
export type { Labels, Metrics } from "./createMetrics.js";
export { EVENT_CATALOGUE } from "./eventCatalogue.js";
export type { EventNumber } from "./eventCatalogue.js";
