export { applyHello } from "./applyHello.js";
export { markUnresponsive } from "./markUnresponsive.js";
export type { Member } from "./memberView.js";
export { mergeHostList } from "./mergeHostList.js";
export { startMembershipTask } from "./startMembershipTask.js";
export type { MembershipTask, MembershipTaskOptions } from "./startMembershipTask.js";
