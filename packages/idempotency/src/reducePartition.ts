import type { ClaimReply } from "@fulmarcleat/wire";
import { buildClaimPage } from "./buildClaimPage.js";
import type {
    PageWriteOutcome,
    PartitionContext,
    PartitionEffect,
    PartitionMessage,
    PartitionState,
    PartitionStep,
    PendingClaimRequest,
    ReadPage,
} from "./partitionState.js";
import { resolveClaimRequest } from "./resolveClaimRequest.js";
import { retainAnswer } from "./retainAnswer.js";

/** Limit on the outcomes that wait to be written; the oldest ones are dropped. */
const MAX_PENDING_ENDS = 10_000;

/**
 * Computes a partition's next state and effects. A claim is granted only once its write is known to be committed.
 *
 * @param state - State of the partition
 * @param message - Event to handle
 * @param context - Current time, availability of the key-value service, and limits
 * @returns the next state and the effects to carry out
 *
 * @example
 * const { state, effects } = reducePartition(before, { kind: "ask", waiting }, context);
 */
export function reducePartition(
    state: PartitionState,
    message: PartitionMessage,
    context: PartitionContext,
): PartitionStep {
    switch (message.kind) {
        case "ask":
            return handleClaimRequest(state, message.waiting, context);
        case "end":
            return recordClaimEnd(state, message, context);
        case "flush":
            return flush({ ...state, flush: "none" }, context);
        case "read":
            return state.phase === "reading"
                ? resolvePending(replacePage(state, message.committed), context, "now")
                : { state, effects: [] };
        case "readFailed":
            return state.phase === "reading"
                ? rejectWaiting({ ...state, phase: "unread" }, context)
                : { state, effects: [] };
        case "written":
            return state.write === undefined
                ? { state, effects: [] }
                : handleWriteOutcome(state, message.outcome, context);
        case "tick":
            return expireRequests(state, context);
    }
}

function handleClaimRequest(
    state: PartitionState,
    waiting: PendingClaimRequest,
    context: PartitionContext,
): PartitionStep {
    if (context.kvAvailable) {
        return resolvePending({ ...state, waiting: [...state.waiting, waiting] }, context, "gathered");
    }
    const known = state.phase === "unread" ? undefined : resolveClaimRequest(state, waiting.request, context);
    return { state, effects: [createReplyEffect(waiting, known ?? createUnavailableReply(context))] };
}

function recordClaimEnd(
    state: PartitionState,
    message: Extract<PartitionMessage, { kind: "end" }>,
    context: PartitionContext,
): PartitionStep {
    const { end, answer } = message;
    const answers = answer === undefined || end.outcome !== "ran"
        ? state.answers
        : retainAnswer(state.answers, end.nonce, answer, context.limits.maxAnswerBytes);
    const isKnown = state.ends.some(pending => pending.nonce === end.nonce);
    const ends = isKnown ? state.ends : [...state.ends, end].slice(-MAX_PENDING_ENDS);
    return resolvePending({ ...state, answers, ends }, context, "idle");
}

function resolvePending(
    state: PartitionState,
    context: PartitionContext,
    when: "gathered" | "now" | "idle",
): PartitionStep {
    if (state.phase === "unread") {
        const isNeeded = state.waiting.length > 0 || state.ends.length > 0;
        return isNeeded && context.kvAvailable
            ? { state: { ...state, phase: "reading" }, effects: [{ kind: "read" }] }
            : { state, effects: [] };
    }
    if (state.phase !== "ready") {
        return { state, effects: [] };
    }
    const effects: PartitionEffect[] = [];
    const waiting: PendingClaimRequest[] = [];
    for (const pending of state.waiting) {
        const known = resolveClaimRequest(state, pending.request, context) ?? resolveFreeKey(pending, context);
        if (known === undefined) {
            waiting.push(pending);
        }
        else {
            effects.push(createReplyEffect(pending, known));
        }
    }
    return scheduleFlush({ ...state, waiting }, effects, context, when);
}

function resolveFreeKey(pending: PendingClaimRequest, context: PartitionContext): ClaimReply | undefined {
    if (!context.kvAvailable) {
        return createUnavailableReply(context);
    }
    return pending.request.mode === "look" ? { kind: "free" } : undefined;
}

function scheduleFlush(
    state: PartitionState,
    effects: readonly PartitionEffect[],
    context: PartitionContext,
    when: "gathered" | "now" | "idle",
): PartitionStep {
    if (state.waiting.length > 0 && state.flush !== "soon") {
        return {
            state: { ...state, flush: "soon" },
            effects: [...effects, { kind: "scheduleFlush", when: when === "idle" ? "gathered" : when }],
        };
    }
    if (state.ends.length > 0 && state.flush === "none" && context.kvAvailable) {
        return { state: { ...state, flush: "idle" }, effects: [...effects, { kind: "scheduleFlush", when: "idle" }] };
    }
    return { state, effects };
}

function flush(state: PartitionState, context: PartitionContext): PartitionStep {
    if (state.phase !== "ready") {
        return resolvePending(state, context, "now");
    }
    const resolved = resolvePending({ ...state, flush: "soon" }, context, "idle");
    const { waiting, ends } = resolved.state;
    const replies = resolved.effects.filter(effect => effect.kind === "reply");
    if (!context.kvAvailable || waiting.length === 0 && ends.length === 0) {
        return { state: { ...resolved.state, flush: "none" }, effects: replies };
    }
    const nonce = `${state.writer}/${state.writeCount + 1}`;
    const built = buildClaimPage(state.page, { claims: waiting, ends, nonce }, context);
    const isSameKey = (pending: PendingClaimRequest): boolean =>
        built.admitted.some(claim =>
            claim.request.key === pending.request.key && claim.pendingId !== pending.pendingId
        );
    const rejected = built.deferred.filter(pending => !isSameKey(pending));
    return {
        state: {
            ...resolved.state,
            phase: "writing",
            flush: "none",
            writeCount: state.writeCount + 1,
            waiting: built.deferred.filter(isSameKey),
            ends: [],
            write: { page: built.page, nonce, claims: built.admitted, ends },
        },
        effects: [
            ...replies,
            ...rejected.map(pending => createReplyEffect(pending, createUnavailableReply(context))),
            { kind: "write", expectedRevision: state.revision, page: built.page, nonce },
        ],
    };
}

function handleWriteOutcome(
    state: PartitionState,
    outcome: PageWriteOutcome,
    context: PartitionContext,
): PartitionStep {
    const { claims, ends } = state.write ?? { claims: [], ends: [] };
    const cleared: PartitionState = { ...state, write: undefined };
    const restored: PartitionState = { ...cleared, ends: [...ends, ...state.ends] };
    switch (outcome.kind) {
        case "applied":
            return prependEffects(
                claims.map(claim => createReplyEffect(claim, { kind: "granted" })),
                resolvePending(replacePage(cleared, outcome.committed), context, "now"),
            );
        case "refused":
            return resolvePending(
                { ...replacePage(restored, outcome.committed), waiting: [...claims, ...state.waiting] },
                context,
                "now",
            );
        case "unavailable":
            return prependEffects(
                claims.map(claim => createReplyEffect(claim, createUnavailableReply(context))),
                rejectWaiting({ ...restored, phase: "ready" }, context),
            );
        case "unknown":
            return prependEffects(
                claims.map(claim => createReplyEffect(claim, { kind: "undecided" })),
                rejectWaiting({ ...restored, phase: "unread" }, context),
            );
    }
}

function rejectWaiting(state: PartitionState, context: PartitionContext): PartitionStep {
    const effects = state.waiting.map(pending => createReplyEffect(pending, createUnavailableReply(context)));
    return prependEffects(effects, resolvePending({ ...state, waiting: [] }, context, "idle"));
}

function expireRequests(state: PartitionState, context: PartitionContext): PartitionStep {
    const isLate = (pending: PendingClaimRequest): boolean => pending.deadlineMs <= context.nowMs;
    const claims = state.write?.claims ?? [];
    const write = state.write === undefined
        ? undefined
        : { ...state.write, claims: claims.filter(pending => !isLate(pending)) };
    const effects = [
        ...claims.filter(isLate).map(pending => createReplyEffect(pending, { kind: "undecided" })),
        ...state.waiting.filter(isLate).map(pending => createReplyEffect(pending, createUnavailableReply(context))),
    ];
    return prependEffects(
        effects,
        resolvePending(
            { ...state, write, waiting: state.waiting.filter(pending => !isLate(pending)) },
            context,
            "idle",
        ),
    );
}

function replacePage(state: PartitionState, committed: ReadPage): PartitionState {
    return { ...state, phase: "ready", page: committed.page, revision: committed.revision };
}

function prependEffects(effects: readonly PartitionEffect[], step: PartitionStep): PartitionStep {
    return { state: step.state, effects: [...effects, ...step.effects] };
}

function createReplyEffect(pending: PendingClaimRequest, reply: ClaimReply): PartitionEffect {
    return { kind: "reply", pendingId: pending.pendingId, reply };
}

function createUnavailableReply(context: PartitionContext): ClaimReply {
    return { kind: "unavailable", retryAfterMs: context.limits.retryAfterMs };
}
