import { brandId } from "@fulmarcleat/ids";
import type { Nonce } from "@fulmarcleat/ids";
import { registerTable } from "@fulmarcleat/testing";
import { buildClaimPage } from "./buildClaimPage.js";
import type { ClaimPage } from "./claimPage.js";
import type { PartitionLimits, PendingClaimEnd, PendingClaimRequest } from "./partitionState.js";

const LIMITS: PartitionLimits = {
    retentionMs: 10_000,
    maxRunMs: 5000,
    maxPageBytes: 250,
    maxAnswerBytes: 1000,
    retryAfterMs: 1000,
};

registerTable(
    "buildClaimPage",
    (entries: ClaimPage["entries"], claims: readonly string[], ends: readonly PendingClaimEnd[], nowMs: number) => {
        const change = { claims: claims.map(readClaim), ends, nonce: "w" };
        const built = buildClaimPage({ entries, writes: [] }, change, { nowMs, limits: LIMITS });
        const lines = Object.entries(built.page.entries).map(([key, entry]) => [
            key,
            `${entry.nonce} ${entry.atMs} ${entry.state}`,
        ]);
        return {
            entries: Object.fromEntries(lines) as unknown,
            admitted: built.admitted.map(claim => claim.request.nonce),
            left: built.deferred.map(claim => claim.request.nonce),
        };
    },
);

function readClaim(text: string, pendingId: number): PendingClaimRequest {
    const [key = "", nonce = ""] = text.split(" ");
    return {
        pendingId,
        deadlineMs: 100,
        request: { mode: "claim", key, requestHash: "x", nonce: brandId<Nonce>(nonce) },
    };
}
