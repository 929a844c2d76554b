export { fitSlope } from "./fitSlope.js";
export type { Reading, Slope } from "./fitSlope.js";
