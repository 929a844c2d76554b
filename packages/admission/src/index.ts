export { decideAdmission } from "./decideAdmission.js";
export type { AdmissionDecision, QueueState } from "./decideAdmission.js";
export { orderWaiting } from "./orderWaiting.js";
export type { OrderWaitingOptions, WaitingOrder } from "./orderWaiting.js";
export { rankWaiting } from "./rankWaiting.js";
