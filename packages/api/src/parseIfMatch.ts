import { ServeError } from "@fulmarcleat/errors";
import type { ExpectedVersion } from "./decideChange.js";

const VERSION_PATTERN = /^"?([1-9][0-9]{0,14})"?$/;

/**
 * Reads an `If-Match` header.
 *
 * @param text - The header
 * @returns the resourceVersion that it names, `any` for `*`, undefined where there is none
 * @throws ServeError `bad_request`
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
        throw new ServeError("If-Match: a resourceVersion or *", {
            code: "bad_request",
            step: "read headers",
            peer: "operator",
            outcome: "not_run",
        });
    }
    return Number(digits);
}
