import { ServeError } from "@fulmarcleat/errors";
import type { ExpectedVersion } from "./decideChange.js";

const VERSION_PATTERN = /^"?([1-9][0-9]{0,14})"?$/;

/**
 * Parses an `If-Match` header.
 *
 * @param text - Value of the header, with or without quotes; undefined if it is not sent
 * @returns the resourceVersion, `any` for `*`, or undefined if the header is not sent
 * @throws ServeError `bad_request` if the value is neither a positive integer nor `*`
 *
 * @example
 * parseIfMatch('"41"'); // 41
 */
export function parseIfMatch(text: string | undefined): ExpectedVersion {
    if (text === undefined || text === "*") {
        return text === undefined ? undefined : "any";
    }
    const digits = VERSION_PATTERN.exec(text)?.[1];
    if (digits === undefined) {
        throw new ServeError("If-Match must be a resourceVersion or *", {
            code: "bad_request",
            step: "read headers",
            peer: "operator",
            outcome: "not_run",
        });
    }
    return Number(digits);
}
