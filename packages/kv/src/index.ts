export { createKvClient } from "./createKvClient.js";
export type { KvClient, KvClientOptions, KvPurpose, KvWrite } from "./createKvClient.js";
export { judgeSwap } from "./judgeSwap.js";
export type { SwapAttempt, SwapVerdict, SwapView } from "./judgeSwap.js";
export type { KvOutcome } from "./kvOutcome.js";
export type { CallBudget } from "./takeCallToken.js";
