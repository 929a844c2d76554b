import { registerTable } from "@fulmarcleat/testing";
import type { ClaimPage } from "./claimPage.js";
import type { PartitionLimits, PendingClaimEnd, PendingClaimRequest, RetainedAnswer } from "./partitionState.js";
import { resolveClaimRequest } from "./resolveClaimRequest.js";

const LIMITS: PartitionLimits = {
    retentionMs: 10_000,
    maxRunMs: 5000,
    maxPageBytes: 1000,
    maxAnswerBytes: 1000,
    retryAfterMs: 1000,
};

registerTable(
    "resolveClaimRequest",
    (
        entries: ClaimPage["entries"],
        ends: readonly PendingClaimEnd[],
        answers: readonly RetainedAnswer[],
        request: PendingClaimRequest["request"],
        nowMs: number,
    ) => resolveClaimRequest({ page: { entries, writes: [] }, ends, answers }, request, { nowMs, limits: LIMITS }),
);
