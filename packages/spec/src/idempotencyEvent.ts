import type { IdempotencyWorld, OwnerIndex } from "./idempotencyWorld.js";

/** What can happen; `fault` ones use up the budget of faults. */
export type IdempotencyEvent =
    | {
        readonly type: "ask";
        readonly attempt: number;
        readonly owner: OwnerIndex;
        readonly kvAvailable: boolean;
    }
    /** The reply was lost; the same claim is asked of the other host. */
    | { readonly type: "askOther"; readonly attempt: number; readonly owner: OwnerIndex }
    | { readonly type: "giveUp"; readonly attempt: number }
    | { readonly type: "start"; readonly attempt: number }
    | { readonly type: "finish"; readonly attempt: number; readonly outcome: "ran" | "not_run" | "unknown" }
    | { readonly type: "reportEnd"; readonly attempt: number; readonly owner: OwnerIndex }
    | { readonly type: "runnerGone"; readonly attempt: number }
    | { readonly type: "flush"; readonly owner: OwnerIndex }
    | { readonly type: "readDone"; readonly owner: OwnerIndex }
    | { readonly type: "readFailed"; readonly owner: OwnerIndex }
    | { readonly type: "swap"; readonly owner: OwnerIndex; readonly fault: "none" | "lostReply" | "late" }
    | { readonly type: "swapUnsent"; readonly owner: OwnerIndex }
    | { readonly type: "swapGivenUp"; readonly owner: OwnerIndex }
    | { readonly type: "lateSwap"; readonly at: number }
    | { readonly type: "ownerGone"; readonly owner: OwnerIndex };

const OWNERS: readonly OwnerIndex[] = [0, 1];

/**
 * Lists what can happen in a world.
 *
 * @param world - The world
 * @returns the events
 *
 * @example
 * const events = listIdempotencyEvents(world);
 */
export function listIdempotencyEvents(world: IdempotencyWorld): readonly IdempotencyEvent[] {
    const mayFail = world.faultsLeft > 0;
    return [
        ...world.attempts.flatMap((attempt, at) => listAttemptEvents(world, at, mayFail)),
        ...OWNERS.flatMap(owner => listOwnerEvents(world, owner, mayFail)),
        ...world.late.map((write, at) => ({ type: "lateSwap", at }) as const),
    ];
}

function listAttemptEvents(world: IdempotencyWorld, at: number, mayFail: boolean): readonly IdempotencyEvent[] {
    const attempt = world.attempts[at];
    switch (attempt?.phase) {
        case "idle":
            return listAsks(world, at, mayFail);
        case "asked":
            return [
                { type: "giveUp", attempt: at },
                ...(mayFail && !attempt.wasLost
                    ? OWNERS.map(owner => ({ type: "askOther", attempt: at, owner }) as const)
                    : []),
            ];
        case "granted":
            return [
                { type: "start", attempt: at },
                { type: "finish", attempt: at, outcome: "not_run" },
            ];
        case "running":
            return [
                { type: "finish", attempt: at, outcome: "ran" },
                { type: "finish", attempt: at, outcome: "unknown" },
                ...(mayFail ? [{ type: "runnerGone", attempt: at } as const] : []),
            ];
        case "ending":
            return OWNERS.map(owner => ({ type: "reportEnd", attempt: at, owner }) as const);
        case "closed":
        case undefined:
            return [];
    }
}

function listAsks(world: IdempotencyWorld, at: number, mayFail: boolean): readonly IdempotencyEvent[] {
    if (at > 0 && world.attempts[at - 1]?.phase === "idle") {
        return [];
    }
    const owners = at === 0 ? OWNERS.slice(0, 1) : OWNERS;
    return owners.flatMap(owner => [
        { type: "ask", attempt: at, owner, kvAvailable: true } as const,
        ...(mayFail ? [{ type: "ask", attempt: at, owner, kvAvailable: false } as const] : []),
    ]);
}

function listOwnerEvents(world: IdempotencyWorld, owner: OwnerIndex, mayFail: boolean): readonly IdempotencyEvent[] {
    const { state, isReading, write } = world.owners[owner];
    const events: IdempotencyEvent[] = [];
    if (state.flush !== "none") {
        events.push({ type: "flush", owner });
    }
    if (isReading) {
        events.push({ type: "readDone", owner });
    }
    if (write !== undefined) {
        events.push({ type: "swap", owner, fault: "none" });
    }
    if (write?.wasLost === true) {
        events.push({ type: "swapGivenUp", owner });
    }
    if (!mayFail) {
        return events;
    }
    if (isReading) {
        events.push({ type: "readFailed", owner });
    }
    if (write !== undefined) {
        events.push(
            { type: "swap", owner, fault: "lostReply" },
            { type: "swap", owner, fault: "late" },
            { type: "swapUnsent", owner },
        );
    }
    if (state.phase !== "unread") {
        events.push({ type: "ownerGone", owner });
    }
    return events;
}
