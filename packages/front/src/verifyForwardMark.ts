import { parseJson } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import type { AccountName } from "@fulmarcleat/ids";
import { isSameMac } from "@fulmarcleat/wire";
import * as z from "zod";
import { computeMarkMac } from "./computeMarkMac.js";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark, ForwardScope } from "./forwardMark.js";
import { readHeader } from "./readHeader.js";

/** Header that identifies a client's request. */
const REQUEST_ID_HEADER = "request-id";

const markSchema = z.object({
    from: z.string().min(1),
    sends: z.int().nonnegative(),
    isCounted: z.literal(true).optional(),
    account: z.string().min(1).optional(),
    tried: z.array(z.string()),
    origin: z.object({ service: z.string(), softwareVersion: z.string().optional() }).optional(),
});

/**
 * Verifies that another host has handed a request to this host, and reads what it states of the request.
 *
 * @param peerKey - Key shared by all hosts
 * @param scope - Name of this host, method and path of the request
 * @param rawHeaders - Alternating header names and values, as received
 * @returns the mark; undefined without one, or if it isn't valid for this request and this host
 *
 * @example
 * const mark = verifyForwardMark(peerKey, { host, method: "GET", path: "/" }, req.rawHeaders);
 */
export function verifyForwardMark(
    peerKey: string,
    scope: Omit<ForwardScope, "requestId">,
    rawHeaders: readonly string[],
): ForwardMark | undefined {
    const text = readHeader(rawHeaders, MARK_HEADER);
    const mac = readHeader(rawHeaders, MARK_MAC_HEADER);
    const requestId = readHeader(rawHeaders, REQUEST_ID_HEADER);
    if (text === undefined || mac === undefined || requestId === undefined) {
        return undefined;
    }
    if (!isSameMac(mac, computeMarkMac(peerKey, { ...scope, requestId }, text))) {
        return undefined;
    }
    const { data } = markSchema.safeParse(parseJson(Buffer.from(text, "base64url").toString("utf8")));
    return data && {
        from: brandId(data.from),
        sends: data.sends,
        ...(data.isCounted === true ? { isCounted: true } : {}),
        ...(data.account === undefined ? {} : { account: brandId<AccountName>(data.account) }),
        tried: data.tried.map(id => brandId(id)),
        origin: data.origin && {
            service: brandId(data.origin.service),
            softwareVersion: data.origin.softwareVersion === undefined
                ? undefined
                : brandId(data.origin.softwareVersion),
        },
    };
}
