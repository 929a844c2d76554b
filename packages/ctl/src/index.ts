export { CTL_EXIT } from "./ctlCommand.js";
export type { CtlExit } from "./ctlCommand.js";
export { runCtl } from "./runCtl.js";
export type { CtlOptions } from "./runCtl.js";
