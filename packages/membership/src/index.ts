export { applyHello } from "./applyHello.js";
export { markSilent } from "./markSilent.js";
export type { Member } from "./memberView.js";
export { mergeHostList } from "./mergeHostList.js";
export { startMembershipTask } from "./startMembershipTask.js";
export type { MembershipTask, MembershipTaskOptions } from "./startMembershipTask.js";
