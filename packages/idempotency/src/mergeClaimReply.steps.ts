import { registerTable } from "@fulmarcleat/testing";
import type { ClaimReply } from "@fulmarcleat/wire";
import { mergeClaimReply } from "./mergeClaimReply.js";

registerTable(
    "mergeClaimReply",
    (reply: ClaimReply | null, wasLost: boolean) => mergeClaimReply(reply ?? undefined, wasLost),
);
