import { EMPTY_PAGE } from "@fulmarcleat/idempotency";
import type { ClaimPage } from "@fulmarcleat/idempotency";
import type { IdempotencyWorld, OwnerWorld } from "./idempotencyWorld.js";

/**
 * Gives the same world without what no later step can tell apart: revisions by rank, nonces of
 * writes that nobody waits for, pages that are read again before use.
 *
 * @param world - The world
 * @returns the world that stands for all that behave alike
 *
 * @example
 * const next = normalizeIdempotency(stepIdempotency(world, event, undefined));
 */
export function normalizeIdempotency(world: IdempotencyWorld): IdempotencyWorld {
    const pending = listPending(world);
    const ranks = rankRevisions(world);
    const rank = (revision: number): number => ranks.indexOf(revision);
    const trim = (page: ClaimPage): ClaimPage => ({
        entries: page.entries,
        writes: page.writes.filter(nonce => pending.includes(nonce)).sort(),
    });
    const [first, second] = world.owners;
    const normalizeOwner = (owner: OwnerWorld): OwnerWorld => ({
        ...owner,
        state: {
            ...owner.state,
            writeCount: pending.some(nonce => nonce.startsWith(`${owner.state.writer}/`)) ? owner.state.writeCount : 0,
            page: isForgotten(owner) ? EMPTY_PAGE : trim(owner.state.page),
            revision: isForgotten(owner) ? -1 : rank(owner.state.revision),
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
        ...world,
        page: trim(world.page),
        revision: rank(world.revision),
        late: world.late
            .filter(write => write.expectedRevision === world.revision)
            .map(write => ({ ...write, page: trim(write.page), expectedRevision: rank(write.expectedRevision) })),
        owners: [normalizeOwner(first), normalizeOwner(second)],
        attempts: world.attempts.map(attempt => attempt.phase === "asked" ? attempt : { ...attempt, wasLost: false }),
    };
}

function isForgotten(owner: OwnerWorld): boolean {
    return owner.state.phase === "unread" || owner.state.phase === "reading";
}

function listPending(world: IdempotencyWorld): readonly string[] {
    const own = world.owners.flatMap(owner => owner.write === undefined ? [] : [owner.write.nonce]);
    return [...own, ...world.late.map(write => write.nonce)];
}

function rankRevisions(world: IdempotencyWorld): readonly number[] {
    const used = new Set([
        world.revision,
        ...world.owners.flatMap(owner => isForgotten(owner) ? [] : [owner.state.revision]),
        ...world.owners.flatMap(owner => owner.write === undefined ? [] : [owner.write.expectedRevision]),
    ]);
    return [...used].sort((a, b) => a - b);
}
