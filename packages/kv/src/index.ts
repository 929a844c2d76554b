export { createKvClient } from "./createKvClient.js";
export type { KvClient, KvClientOptions, KvPurpose, KvWrite } from "./createKvClient.js";
export type { KvOutcome } from "./kvOutcome.js";
