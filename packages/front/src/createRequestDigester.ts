import { DIGEST_PREFIX } from "@fulmarcleat/dispatch";
import { brandId } from "@fulmarcleat/ids";
import type { RequestDigest } from "@fulmarcleat/ids";
import { createHmac } from "node:crypto";

/** What makes two requests of clients the same. */
export interface RequestContent {
    readonly method: string;
    readonly hostName: string;
    /** Path and query. */
    readonly path: string;
    readonly body: Buffer;
}

/** Computes the digest of a request; undefined while the key is not known. */
export type RequestDigester = (content: RequestContent) => RequestDigest | undefined;

/** Length of a digest, in hexadecimal digits. */
const DIGEST_DIGITS = 16;

/**
 * Creates the function that computes digests of requests. They are keyed, so that a log doesn't show what was asked.
 *
 * @param readKey - Returns the key that all hosts share; undefined until it is known
 * @returns the function
 *
 * @example
 * const digest = createRequestDigester(() => key)({ method: "GET", hostName: "a.example", path: "/", body });
 */
export function createRequestDigester(readKey: () => string | undefined): RequestDigester {
    return ({ method, hostName, path, body }) => {
        const key = readKey();
        if (key === undefined) {
            return undefined;
        }
        const hmac = createHmac("sha256", key).update(JSON.stringify([method, hostName, path])).update(body);
        return brandId(DIGEST_PREFIX + hmac.digest("hex").slice(0, DIGEST_DIGITS));
    };
}
