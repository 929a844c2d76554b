export { createKvClient } from "./createKvClient.js";
export type { KvClient, KvClientOptions, KvPurpose, KvWrite } from "./createKvClient.js";
export type { KvOutcome } from "./kvOutcome.js";
export { resolveSwap } from "./resolveSwap.js";
export type { SwapAttempt, SwapResolution, SwapView } from "./resolveSwap.js";
export type { CallBudget } from "./takeCallToken.js";
