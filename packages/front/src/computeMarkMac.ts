import { computeMac } from "@fulmarcleat/wire";
import type { ForwardScope } from "./forwardMark.js";

/**
 * Computes the code that authenticates the mark of a forwarded request.
 *
 * @param peerKey - Key shared by all hosts
 * @param scope - The request and the host that serves it
 * @param markText - Text of the mark as in its header
 * @returns the code in hexadecimal
 *
 * @example
 * const mac = computeMarkMac(peerKey, { host, method, path, requestId }, markText);
 */
export function computeMarkMac(peerKey: string, scope: ForwardScope, markText: string): string {
    const { host, method, path, requestId } = scope;
    return computeMac(peerKey, ["forward", host, method, path, requestId, markText]);
}
