export type { ErrorCode } from "./errorCode.js";
export { listErrorCodes } from "./listErrorCodes.js";
export type { Outcome } from "./outcome.js";
export { ServeError } from "./serveError.js";
export type { ServeErrorDetails } from "./serveError.js";
export { toErrorBody } from "./toErrorBody.js";
export type { ErrorBody } from "./toErrorBody.js";
export { toErrorStatus } from "./toErrorStatus.js";
export { toServeError } from "./toServeError.js";
