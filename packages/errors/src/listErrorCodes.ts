import type { ErrorCode } from "./errorCode.js";
import { STATUS_BY_CODE } from "./toErrorStatus.js";

/**
 * Lists every error code.
 *
 * @returns the codes, in the order of `STATUS_BY_CODE`
 *
 * @example
 * listErrorCodes().forEach(reason => metrics.count("refusals_total", { reason }, 0));
 */
export function listErrorCodes(): readonly ErrorCode[] {
    return Object.keys(STATUS_BY_CODE) as ErrorCode[];
}
