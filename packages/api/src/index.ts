export { apiSettingsSchema } from "./apiSettings.js";
export type { ApiSettings } from "./apiSettings.js";
export { decideChange } from "./decideChange.js";
export type { ChangeRequest, ExpectedVersion } from "./decideChange.js";
export { startApi } from "./startApi.js";
export type { Api } from "./startApi.js";
export type { WatchLine } from "./streamWatch.js";
