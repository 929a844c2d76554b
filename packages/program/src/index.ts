export { runProgram } from "./runProgram.js";
export type { Program, RunningProgram } from "./runProgram.js";
