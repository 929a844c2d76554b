export { countOutcomes } from "./countOutcomes.js";
export { runOnceBench } from "./runOnceBench.js";
