export { runDemo } from "./runDemo.js";
export type { Demo, DemoOptions } from "./runDemo.js";
