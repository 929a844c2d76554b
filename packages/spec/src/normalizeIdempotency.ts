import { EMPTY_PAGE } from "@fulmarcleat/idempotency";
import type { ClaimPage } from "@fulmarcleat/idempotency";
import type { IdempotencyModel, OwnerModel } from "./idempotencyModel.js";

/**
 * Maps equivalent states to one representative, which keeps the number of states small: replaces revisions by their
 * rank, and drops the nonces of writes that no host waits for and the pages that are read again before use.
 *
 * @param model - State to normalize
 * @returns the representative; no later event distinguishes it from the given state
 *
 * @example
 * const next = normalizeIdempotency(stepIdempotency(model, event, undefined));
 */
export function normalizeIdempotency(model: IdempotencyModel): IdempotencyModel {
    const pending = listPendingNonces(model);
    const ranks = rankRevisions(model);
    const rank = (revision: number): number => ranks.indexOf(revision);
    const trim = (page: ClaimPage): ClaimPage => ({
        entries: page.entries,
        writes: page.writes.filter(nonce => pending.includes(nonce)).sort(),
    });
    const [first, second] = model.owners;
    const normalizeOwner = (owner: OwnerModel): OwnerModel => ({
        ...owner,
        state: {
            ...owner.state,
            writeCount: pending.some(nonce => nonce.startsWith(`${owner.state.writer}/`)) ? owner.state.writeCount : 0,
            page: isPageUnread(owner) ? EMPTY_PAGE : trim(owner.state.page),
            revision: isPageUnread(owner) ? -1 : rank(owner.state.revision),
            write: owner.state.write === undefined
                ? undefined
                : { ...owner.state.write, page: trim(owner.state.write.page) },
        },
        write: owner.write === undefined
            ? undefined
            : {
                ...owner.write,
                page: trim(owner.write.page),
                expectedRevision: rank(owner.write.expectedRevision),
            },
    });
    return {
        ...model,
        page: trim(model.page),
        revision: rank(model.revision),
        delayedWrites: model.delayedWrites
            .filter(write => write.expectedRevision === model.revision)
            .map(write => ({ ...write, page: trim(write.page), expectedRevision: rank(write.expectedRevision) })),
        owners: [normalizeOwner(first), normalizeOwner(second)],
        attempts: model.attempts.map(attempt => attempt.phase === "asked" ? attempt : { ...attempt, wasLost: false }),
    };
}

function isPageUnread(owner: OwnerModel): boolean {
    return owner.state.phase === "unread" || owner.state.phase === "reading";
}

function listPendingNonces(model: IdempotencyModel): readonly string[] {
    const own = model.owners.flatMap(owner => owner.write === undefined ? [] : [owner.write.nonce]);
    return [...own, ...model.delayedWrites.map(write => write.nonce)];
}

function rankRevisions(model: IdempotencyModel): readonly number[] {
    const used = new Set([
        model.revision,
        ...model.owners.flatMap(owner => isPageUnread(owner) ? [] : [owner.state.revision]),
        ...model.owners.flatMap(owner => owner.write === undefined ? [] : [owner.write.expectedRevision]),
    ]);
    return [...used].sort((a, b) => a - b);
}
