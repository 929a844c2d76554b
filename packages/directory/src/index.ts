export type { AdapterRelease } from "./adapterRelease.js";
export { chooseWatchInterval } from "./chooseWatchInterval.js";
export type * from "./engineControl.js";
export type * from "./engineEntry.js";
export * from "./engineTransport.js";
export * from "./metadataStore.js";
export { reduceDirectory } from "./reduceDirectory.js";
export type { DirectoryMessage, DirectoryState, KnownEngine } from "./reduceDirectory.js";
export type * from "./servingConfig.js";
