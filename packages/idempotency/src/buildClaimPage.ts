import type { ClaimEntry, ClaimPage } from "./claimPage.js";
import type { PartitionContext, PendingEnd, WaitingAsk } from "./partitionState.js";

/** What goes into one write of a page. */
export interface PageChange {
    readonly claims: readonly WaitingAsk[];
    readonly ends: readonly PendingEnd[];
    readonly nonce: string;
}

/** A built page and the claims that no longer fit in. */
export interface BuiltPage {
    readonly page: ClaimPage;
    readonly admitted: readonly WaitingAsk[];
    readonly left: readonly WaitingAsk[];
}

const KEPT_WRITES = 64;
const ENTRY_OVERHEAD_BYTES = 100;

/**
 * Builds the page of the next write: without keys past their retention, with ends and new claims.
 *
 * @param page - The committed page
 * @param change - Ends and claims
 * @param context - Time and limits
 * @returns the page and which claims are in it
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
    let bytes = [...entries].reduce((sum, [key, entry]) => sum + countBytes(key, entry), 0);
    const admitted: WaitingAsk[] = [];
    const left: WaitingAsk[] = [];
    for (const claim of change.claims) {
        const { key, requestHash, nonce } = claim.ask;
        const entry: ClaimEntry = { requestHash, nonce, atMs: context.nowMs, state: "open" };
        const added = countBytes(key, entry);
        if (entries.has(key) || bytes + added > context.limits.maxPageBytes) {
            left.push(claim);
            continue;
        }
        entries.set(key, entry);
        bytes += added;
        admitted.push(claim);
    }
    const writes = [...page.writes.slice(1 - KEPT_WRITES), change.nonce];
    return { page: { entries: Object.fromEntries(entries), writes }, admitted, left };
}

function applyEnd(entries: Map<string, ClaimEntry>, end: PendingEnd): void {
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

function countBytes(key: string, entry: ClaimEntry): number {
    return key.length + entry.requestHash.length + entry.nonce.length + ENTRY_OVERHEAD_BYTES;
}
