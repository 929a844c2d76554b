import type { ClaimReply } from "@fulmarcleat/wire";
import { buildClaimPage } from "./buildClaimPage.js";
import { decideAsk } from "./decideAsk.js";
import { keepAnswer } from "./keepAnswer.js";
import type {
    PageWriteOutcome,
    PartitionContext,
    PartitionEffect,
    PartitionMessage,
    PartitionState,
    PartitionStep,
    ReadPage,
    WaitingAsk,
} from "./partitionState.js";

const MAX_PENDING_ENDS = 10_000;

/**
 * Decides what a partition's host does next. A claim is granted only once its write is known.
 *
 * @param state - What the host knows
 * @param message - What happened
 * @param context - Time, limits and the state of the key-value service
 * @returns the next state and what to do
 *
 * @example
 * const { state, effects } = reducePartition(former, { kind: "ask", waiting }, context);
 */
export function reducePartition(
    state: PartitionState,
    message: PartitionMessage,
    context: PartitionContext,
): PartitionStep {
    switch (message.kind) {
        case "ask":
            return takeAsk(state, message.waiting, context);
        case "end":
            return takeEnd(state, message, context);
        case "flush":
            return flush({ ...state, flush: "none" }, context);
        case "read":
            return state.phase === "reading"
                ? settle(adopt(state, message.committed), context, "now")
                : { state, effects: [] };
        case "readFailed":
            return state.phase === "reading"
                ? refuseWaiting({ ...state, phase: "unread" }, context)
                : { state, effects: [] };
        case "written":
            return state.write === undefined ? { state, effects: [] } : takeOutcome(state, message.outcome, context);
        case "tick":
            return expire(state, context);
    }
}

function takeAsk(state: PartitionState, waiting: WaitingAsk, context: PartitionContext): PartitionStep {
    if (context.kvAvailable) {
        return settle({ ...state, waiting: [...state.waiting, waiting] }, context, "gathered");
    }
    const known = state.phase === "unread" ? undefined : decideAsk(state, waiting.ask, context);
    return { state, effects: [reply(waiting, known ?? refuse(context))] };
}

function takeEnd(
    state: PartitionState,
    message: Extract<PartitionMessage, { kind: "end" }>,
    context: PartitionContext,
): PartitionStep {
    const { end, answer } = message;
    const answers = answer === undefined || end.outcome !== "ran"
        ? state.answers
        : keepAnswer(state.answers, end.nonce, answer, context.limits.maxAnswerBytes);
    const isKnown = state.ends.some(pending => pending.nonce === end.nonce);
    const ends = isKnown ? state.ends : [...state.ends, end].slice(-MAX_PENDING_ENDS);
    return settle({ ...state, answers, ends }, context, "idle");
}

function settle(
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
    const waiting: WaitingAsk[] = [];
    for (const asked of state.waiting) {
        const known = decideAsk(state, asked.ask, context) ?? decideFree(asked, context);
        if (known === undefined) {
            waiting.push(asked);
        }
        else {
            effects.push(reply(asked, known));
        }
    }
    return scheduleFlush({ ...state, waiting }, effects, context, when);
}

function decideFree(asked: WaitingAsk, context: PartitionContext): ClaimReply | undefined {
    if (!context.kvAvailable) {
        return refuse(context);
    }
    return asked.ask.mode === "look" ? { kind: "free" } : undefined;
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
        return settle(state, context, "now");
    }
    const settled = settle({ ...state, flush: "soon" }, context, "idle");
    const { waiting, ends } = settled.state;
    const replies = settled.effects.filter(effect => effect.kind === "reply");
    if (!context.kvAvailable || waiting.length === 0 && ends.length === 0) {
        return { state: { ...settled.state, flush: "none" }, effects: replies };
    }
    const nonce = `${state.writer}/${state.writeCount + 1}`;
    const built = buildClaimPage(state.page, { claims: waiting, ends, nonce }, context);
    const isSameKey = (asked: WaitingAsk): boolean =>
        built.admitted.some(claim => claim.ask.key === asked.ask.key && claim.askId !== asked.askId);
    const full = built.left.filter(asked => !isSameKey(asked));
    return {
        state: {
            ...settled.state,
            phase: "writing",
            flush: "none",
            writeCount: state.writeCount + 1,
            waiting: built.left.filter(isSameKey),
            ends: [],
            write: { page: built.page, nonce, claims: built.admitted, ends },
        },
        effects: [
            ...replies,
            ...full.map(asked => reply(asked, refuse(context))),
            { kind: "write", expectedRevision: state.revision, page: built.page, nonce },
        ],
    };
}

function takeOutcome(state: PartitionState, outcome: PageWriteOutcome, context: PartitionContext): PartitionStep {
    const { claims, ends } = state.write ?? { claims: [], ends: [] };
    const cleared: PartitionState = { ...state, write: undefined };
    const kept: PartitionState = { ...cleared, ends: [...ends, ...state.ends] };
    switch (outcome.kind) {
        case "applied":
            return prepend(
                claims.map(claim => reply(claim, { kind: "granted" })),
                settle(adopt(cleared, outcome.committed), context, "now"),
            );
        case "refused":
            return settle(
                { ...adopt(kept, outcome.committed), waiting: [...claims, ...state.waiting] },
                context,
                "now",
            );
        case "unavailable":
            return prepend(
                claims.map(claim => reply(claim, refuse(context))),
                refuseWaiting({ ...kept, phase: "ready" }, context),
            );
        case "unknown":
            return prepend(
                claims.map(claim => reply(claim, { kind: "undecided" })),
                refuseWaiting({ ...kept, phase: "unread" }, context),
            );
    }
}

function refuseWaiting(state: PartitionState, context: PartitionContext): PartitionStep {
    const effects = state.waiting.map(asked => reply(asked, refuse(context)));
    return prepend(effects, settle({ ...state, waiting: [] }, context, "idle"));
}

function expire(state: PartitionState, context: PartitionContext): PartitionStep {
    const isLate = (asked: WaitingAsk): boolean => asked.deadlineMs <= context.nowMs;
    const claims = state.write?.claims ?? [];
    const write = state.write === undefined
        ? undefined
        : { ...state.write, claims: claims.filter(asked => !isLate(asked)) };
    const effects = [
        ...claims.filter(isLate).map(asked => reply(asked, { kind: "undecided" })),
        ...state.waiting.filter(isLate).map(asked => reply(asked, refuse(context))),
    ];
    return prepend(
        effects,
        settle({ ...state, write, waiting: state.waiting.filter(asked => !isLate(asked)) }, context, "idle"),
    );
}

function adopt(state: PartitionState, committed: ReadPage): PartitionState {
    return { ...state, phase: "ready", page: committed.page, revision: committed.revision };
}

function prepend(effects: readonly PartitionEffect[], step: PartitionStep): PartitionStep {
    return { state: step.state, effects: [...effects, ...step.effects] };
}

function reply(asked: WaitingAsk, answer: ClaimReply): PartitionEffect {
    return { kind: "reply", askId: asked.askId, reply: answer };
}

function refuse(context: PartitionContext): ClaimReply {
    return { kind: "unavailable", retryAfterMs: context.limits.retryAfterMs };
}
