export { buildOfferIndex } from "./buildOfferIndex.js";
export { gatewaySettingsSchema } from "./gatewaySettings.js";
export type { GatewaySettings } from "./gatewaySettings.js";
export { startGateway } from "./startGateway.js";
export type { Gateway } from "./startGateway.js";
