import { registerTable } from "@fulmarcleat/testing";
import type { ClaimPage } from "./claimPage.js";
import { decideAsk } from "./decideAsk.js";
import type { KeptEntry, PartitionLimits, PendingEnd, WaitingAsk } from "./partitionState.js";

const LIMITS: PartitionLimits = {
    retentionMs: 10_000,
    maxRunMs: 5000,
    maxPageBytes: 1000,
    maxAnswerBytes: 1000,
    retryAfterMs: 1000,
};

registerTable(
    "decideAsk",
    (
        entries: ClaimPage["entries"],
        ends: readonly PendingEnd[],
        answers: readonly KeptEntry[],
        ask: WaitingAsk["ask"],
        nowMs: number,
    ) => decideAsk({ page: { entries, writes: [] }, ends, answers }, ask, { nowMs, limits: LIMITS }),
);
