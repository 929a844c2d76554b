import { computeMarkMac } from "./computeMarkMac.js";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark, ForwardScope } from "./forwardMark.js";

/**
 * Formats and authenticates the mark of a request that is handed to another host.
 *
 * @param peerKey - Key shared by all hosts
 * @param scope - The request and the host that serves it
 * @param mark - What this host states of the request
 * @returns alternating names and values of the headers that carry the mark
 *
 * @example
 * const headers = signForwardMark(peerKey, { host: "front-2", method: "GET", path: "/", requestId }, mark);
 */
export function signForwardMark(peerKey: string, scope: ForwardScope, mark: ForwardMark): readonly string[] {
    const text = Buffer.from(JSON.stringify(mark)).toString("base64url");
    return [MARK_HEADER, text, MARK_MAC_HEADER, computeMarkMac(peerKey, scope, text)];
}
