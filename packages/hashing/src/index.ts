export { createHasher } from "./createHasher.js";
export type { Hasher } from "./createHasher.js";
export { rankByRendezvous } from "./rankByRendezvous.js";
