export { describeSettings } from "./describeSettings.js";
export type { SettingDescription } from "./describeSettings.js";
export { listenSchema, peerKeySchema, tlsSchema } from "./listenSchema.js";
export type { ListenSettings } from "./listenSchema.js";
export { loadSettings } from "./loadSettings.js";
export { parseSettings } from "./parseSettings.js";
