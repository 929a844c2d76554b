import { OUTCOME_HEADER } from "@fulmarcleat/platform";
import type { ServerResponse } from "node:http";
import { SENDS_HEADER } from "../forwardMark.js";

/** An error response to a client. */
export interface Refusal {
    readonly status: number;
    readonly reason: string;
    readonly outcome: "not_run" | "unknown" | "ran";
    /** Time that the request was in flight before the refusal, in milliseconds. */
    readonly heldMs: number;
    /** Expected wait that led to the refusal, in milliseconds. */
    readonly expectedWaitMs?: number;
    readonly retryAfterMs: number | undefined;
    /** Number of attempts that may have reached an engine; undefined if the request got no further than this host. */
    readonly sends?: number;
    /** What the refusal rests on, as log fields: the configuration's version and age, or an account's limit and use. */
    readonly basis?: Readonly<Record<string, string | number | undefined>>;
}

/** How a response is sent. */
export interface ReplyState {
    /** Whether the connection is closed after it. */
    readonly isClosing: boolean;
    /** Whether it goes to another host, which must tell this host's refusals from engines' answers. */
    readonly isForwarded: boolean;
}

/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Writes a refusal, as JSON with its reason and outcome.
 *
 * @param res - Response to the client or to another host
 * @param refusal - Status, reason and outcome
 * @param reply - Whether the connection is closed after it, and whether it goes to another host
 * @returns nothing
 *
 * @example
 * writeRefusal(res, refusal, { isClosing: false, isForwarded: false });
 */
export function writeRefusal(res: ServerResponse, refusal: Refusal, { isClosing, isForwarded }: ReplyState): void {
    const text = JSON.stringify({ error: { code: refusal.reason, outcome: refusal.outcome } });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
    };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = (refusal.retryAfterMs / MS_PER_S).toFixed(3);
    }
    if (isClosing) {
        headers["connection"] = "close";
    }
    if (isForwarded) {
        headers[OUTCOME_HEADER] = refusal.outcome;
        if (refusal.sends !== undefined && refusal.outcome === "not_run") {
            headers[SENDS_HEADER] = String(refusal.sends);
        }
    }
    res.writeHead(refusal.status, headers);
    res.end(text);
}
