export { commitChange } from "./commitChange.js";
export type { ChangeBuilder, CommitOptions } from "./commitChange.js";
export { CONFIG_LOG_KEY } from "./configLog.js";
export type { ConfigLog } from "./configLog.js";
export { parseConfigLog } from "./parseConfigLog.js";
export { startConfigTask } from "./startConfigTask.js";
export type { ConfigTask, ConfigTaskOptions } from "./startConfigTask.js";
