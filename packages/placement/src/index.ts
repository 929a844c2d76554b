export { chooseVictim } from "./chooseVictim.js";
export type { ResidentInstance } from "./chooseVictim.js";
export { countAllowedLoads } from "./countAllowedLoads.js";
export { decayRate, RATE_DECAY_MS } from "./decayRate.js";
export type { DecayedRate } from "./decayRate.js";
export type { LoadBudget, LoadShare } from "./loadBudget.js";
export { refillBudget } from "./refillBudget.js";
