export type { RunningProgram } from "./runningProgram.js";
export { runProgram } from "./runProgram.js";
export type { Program } from "./runProgram.js";
export { stopOnSignals } from "./stopOnSignals.js";
