export { driveLoad } from "./driveLoad.js";
export type { ClassResult, LoadResult } from "./driveLoad.js";
export type { LoadClass, LoadOptions } from "./loadOptions.js";
