export { FLEET_BASE_MODEL, startFleet } from "./startFleet.js";
export type { Fleet, FleetOptions } from "./startFleet.js";
