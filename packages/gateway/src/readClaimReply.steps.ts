import { registerTable } from "@fulmarcleat/testing";
import type { ClaimReply } from "@fulmarcleat/wire";
import { readClaimReply } from "./readClaimReply.js";

registerTable("readClaimReply", (reply: ClaimReply) => {
    const details = readClaimReply(reply)?.details;
    return details === undefined
        ? undefined
        : { code: details.code, outcome: details.outcome, retryAfterMs: details.retryAfterMs };
});
