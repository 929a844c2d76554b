import { registerTable } from "@fulmarcleat/testing";
import type { ClaimReply } from "@fulmarcleat/wire";
import { toClaimFailure } from "./toClaimFailure.js";

registerTable("toClaimFailure", (reply: ClaimReply) => {
    const details = toClaimFailure(reply)?.details;
    return details === undefined
        ? undefined
        : { code: details.code, outcome: details.outcome, retryAfterMs: details.retryAfterMs };
});
