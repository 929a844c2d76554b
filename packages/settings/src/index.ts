export { describeSettings } from "./describeSettings.js";
export type { SettingDescription } from "./describeSettings.js";
export { listenSchema, peerCaFileSchema, peerKeySchema, tlsSchema } from "./listenSchema.js";
export type { ListenSettings } from "./listenSchema.js";
export { loadSettings } from "./loadSettings.js";
export { parseSettings } from "./parseSettings.js";
export { readPem } from "./readPem.js";
export { readTls } from "./readTls.js";
export type { TlsText } from "./readTls.js";
