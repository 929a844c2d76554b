export { EMPTY_PAGE } from "./claimPage.js";
export type { ClaimEntry, ClaimPage } from "./claimPage.js";
export { mergeClaimReply } from "./mergeClaimReply.js";
export { parseClaimPage } from "./parseClaimPage.js";
export { createPartitionState } from "./partitionState.js";
export type * from "./partitionState.js";
export { reducePartition } from "./reducePartition.js";
