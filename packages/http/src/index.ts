export { buildResetConnector } from "./buildResetConnector.js";
export { listen } from "./listen.js";
export { isConnectionRefused, openConnection } from "./openConnection.js";
export { parseDecimal } from "./parseDecimal.js";
export { parseJson } from "./parseJson.js";
export { readBody } from "./readBody.js";
export type { ReadBodyOptions } from "./readBody.js";
export { sendJson } from "./sendJson.js";
