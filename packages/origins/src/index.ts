export { buildOriginRule } from "./buildOriginRule.js";
export { findAgreedOrigin } from "./findAgreedOrigin.js";
export { listOriginServices } from "./listOriginServices.js";
export type { Origin, OriginRule, VersionWeight, WeightedService } from "./originRule.js";
export { pickOrigin } from "./pickOrigin.js";
export { updateOriginRules } from "./updateOriginRules.js";
export type { RuleAges } from "./updateOriginRules.js";
