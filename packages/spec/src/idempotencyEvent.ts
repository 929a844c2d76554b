import type { IdempotencyModel, OwnerIndex } from "./idempotencyModel.js";

/** An event of the idempotency model; lost messages, failed reads and crashes use up the budget of faults. */
export type IdempotencyEvent =
    | {
        readonly type: "ask";
        readonly attempt: number;
        readonly owner: OwnerIndex;
        readonly kvAvailable: boolean;
    }
    /** The reply was lost; the same claim request is sent again, to either host. */
    | { readonly type: "askOther"; readonly attempt: number; readonly owner: OwnerIndex }
    /** The caller gets no reply to its claim request and stops waiting. */
    | { readonly type: "giveUp"; readonly attempt: number }
    | { readonly type: "start"; readonly attempt: number }
    | { readonly type: "finish"; readonly attempt: number; readonly outcome: "ran" | "not_run" | "unknown" }
    | { readonly type: "reportEnd"; readonly attempt: number; readonly owner: OwnerIndex }
    /** The host that runs the request fails, so that the end of the run is never reported. */
    | { readonly type: "runnerGone"; readonly attempt: number }
    | { readonly type: "flush"; readonly owner: OwnerIndex }
    | { readonly type: "readDone"; readonly owner: OwnerIndex }
    | { readonly type: "readFailed"; readonly owner: OwnerIndex }
    /** A compare-and-swap reaches the key-value service, its reply is lost, or it is delayed. */
    | { readonly type: "swap"; readonly owner: OwnerIndex; readonly fault: "none" | "lostReply" | "late" }
    /** A compare-and-swap could not be sent. */
    | { readonly type: "swapUnsent"; readonly owner: OwnerIndex }
    /** The host stops retrying a compare-and-swap whose reply was lost. */
    | { readonly type: "swapGivenUp"; readonly owner: OwnerIndex }
    /** A delayed write reaches the key-value service. */
    | { readonly type: "lateSwap"; readonly at: number }
    /** A host restarts as a new incarnation; its write in flight may still be applied. */
    | { readonly type: "ownerGone"; readonly owner: OwnerIndex };

const OWNERS: readonly OwnerIndex[] = [0, 1];

/**
 * Lists every event that can happen in a state of the idempotency model.
 *
 * @param model - Current state
 * @returns the events, with faults among them while the budget of faults lasts
 *
 * @example
 * const events = listIdempotencyEvents(model);
 */
export function listIdempotencyEvents(model: IdempotencyModel): readonly IdempotencyEvent[] {
    const isFaultAllowed = model.faultsLeft > 0;
    return [
        ...model.attempts.flatMap((attempt, at) => listAttemptEvents(model, at, isFaultAllowed)),
        ...OWNERS.flatMap(owner => listOwnerEvents(model, owner, isFaultAllowed)),
        ...model.delayedWrites.map((write, at) => ({ type: "lateSwap", at }) as const),
    ];
}

function listAttemptEvents(model: IdempotencyModel, at: number, isFaultAllowed: boolean): readonly IdempotencyEvent[] {
    const attempt = model.attempts[at];
    switch (attempt?.phase) {
        case "idle":
            return listClaimRequests(model, at, isFaultAllowed);
        case "asked":
            return [
                { type: "giveUp", attempt: at },
                ...(isFaultAllowed && !attempt.wasLost
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
                ...(isFaultAllowed ? [{ type: "runnerGone", attempt: at } as const] : []),
            ];
        case "ending":
            return OWNERS.map(owner => ({ type: "reportEnd", attempt: at, owner }) as const);
        case "closed":
        case undefined:
            return [];
    }
}

function listClaimRequests(model: IdempotencyModel, at: number, isFaultAllowed: boolean): readonly IdempotencyEvent[] {
    if (at > 0 && model.attempts[at - 1]?.phase === "idle") {
        return [];
    }
    const owners = at === 0 ? OWNERS.slice(0, 1) : OWNERS;
    return owners.flatMap(owner => [
        { type: "ask", attempt: at, owner, kvAvailable: true } as const,
        ...(isFaultAllowed ? [{ type: "ask", attempt: at, owner, kvAvailable: false } as const] : []),
    ]);
}

function listOwnerEvents(
    model: IdempotencyModel,
    owner: OwnerIndex,
    isFaultAllowed: boolean,
): readonly IdempotencyEvent[] {
    const { state, isReading, write } = model.owners[owner];
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
    if (!isFaultAllowed) {
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
