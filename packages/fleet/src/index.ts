export { FLEET_BASE_MODEL, FLEET_OPERATOR_TOKEN, startFleet } from "./startFleet.js";
export type { Fleet, FleetOptions } from "./startFleet.js";
