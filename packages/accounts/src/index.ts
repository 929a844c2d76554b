export { computeRequestCost } from "./computeRequestCost.js";
export { createAccountBucket } from "./createAccountBucket.js";
export type { AccountBucket, BucketGrant, InterimGrants, WindowBound } from "./createAccountBucket.js";
export { createAloneAllowance } from "./createAloneAllowance.js";
export type { AloneAllowance } from "./createAloneAllowance.js";
export { createReturnSlots } from "./createReturnSlots.js";
export type { ReturnSlots } from "./createReturnSlots.js";
