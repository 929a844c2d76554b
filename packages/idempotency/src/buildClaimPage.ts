import type { ClaimEntry, ClaimPage } from "./claimPage.js";
import type { PartitionContext, PendingClaimEnd, PendingClaimRequest } from "./partitionState.js";

/** Claims and outcomes to put into one page write. */
export interface PageChange {
    readonly claims: readonly PendingClaimRequest[];
    readonly ends: readonly PendingClaimEnd[];
    readonly nonce: string;
}

/** A built page, the claims in it, and the claims left out because their key is claimed or the page is full. */
export interface BuiltPage {
    readonly page: ClaimPage;
    readonly admitted: readonly PendingClaimRequest[];
    readonly deferred: readonly PendingClaimRequest[];
}

/** Limit on the write nonces that a page stores. */
const MAX_WRITE_NONCES = 64;
/** Estimated size of an entry's JSON without its key, request hash and nonce, in bytes. */
const ENTRY_OVERHEAD_BYTES = 100;

/**
 * Builds the page of the next write: drops expired keys, records outcomes and adds new claims.
 *
 * @param page - Latest committed page
 * @param change - Outcomes, claims and the nonce of the write
 * @param context - Current wall time and the partition's limits
 * @returns the page, and the claims that are in it and that are not
 *
 * @example
 * const built = buildClaimPage(state.page, { claims, ends, nonce }, context);
 */
export function buildClaimPage(
    page: ClaimPage,
    change: PageChange,
    context: Pick<PartitionContext, "nowMs" | "limits">,
): BuiltPage {
    const entries = new Map<string, ClaimEntry>();
    for (const [key, entry] of Object.entries(page.entries)) {
        if (entry.atMs + context.limits.retentionMs > context.nowMs) {
            entries.set(key, entry);
        }
    }
    change.ends.forEach(end => applyEnd(entries, end));
    let bytes = [...entries].reduce((sum, [key, entry]) => sum + estimateEntryBytes(key, entry), 0);
    const admitted: PendingClaimRequest[] = [];
    const deferred: PendingClaimRequest[] = [];
    for (const claim of change.claims) {
        const { key, requestHash, nonce } = claim.request;
        const entry: ClaimEntry = { requestHash, nonce, atMs: context.nowMs, state: "open" };
        const added = estimateEntryBytes(key, entry);
        if (entries.has(key) || bytes + added > context.limits.maxPageBytes) {
            deferred.push(claim);
            continue;
        }
        entries.set(key, entry);
        bytes += added;
        admitted.push(claim);
    }
    const writes = [...page.writes.slice(1 - MAX_WRITE_NONCES), change.nonce];
    return { page: { entries: Object.fromEntries(entries), writes }, admitted, deferred };
}

function applyEnd(entries: Map<string, ClaimEntry>, end: PendingClaimEnd): void {
    const entry = entries.get(end.key);
    if (entry === undefined || entry.nonce !== end.nonce) {
        return;
    }
    switch (end.outcome) {
        case "not_run":
            entries.delete(end.key);
            return;
        case "ran":
        case "unknown":
            entries.set(end.key, { ...entry, state: end.outcome });
            return;
    }
}

function estimateEntryBytes(key: string, entry: ClaimEntry): number {
    return key.length + entry.requestHash.length + entry.nonce.length + ENTRY_OVERHEAD_BYTES;
}
