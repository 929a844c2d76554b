export { FLEET_BASE_MODEL, FLEET_OPERATOR_TOKEN, FLEET_PEER_KEY, startFleet } from "./startFleet.js";
export type { Fleet, FleetOptions } from "./startFleet.js";
export { startGatewayWorker } from "./startGatewayWorker.js";
export type { GatewayWorker } from "./startGatewayWorker.js";
