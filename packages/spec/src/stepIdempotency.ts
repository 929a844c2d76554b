import { mergeClaimReply, reducePartition } from "@fulmarcleat/idempotency";
import type { ClaimPage, PartitionEffect, PartitionMessage, ReadPage } from "@fulmarcleat/idempotency";
import { resolveSwap } from "@fulmarcleat/kv";
import type { SwapAttempt } from "@fulmarcleat/kv";
import type { ClaimReply } from "@fulmarcleat/wire";
import type { IdempotencyDefect } from "./idempotencyDefect.js";
import type { IdempotencyEvent } from "./idempotencyEvent.js";
import { createOwner, EXPLORED_KEY, EXPLORED_LIMITS } from "./idempotencyModel.js";
import type { AttemptModel, IdempotencyModel, OwnerIndex, OwnerModel, SentWrite } from "./idempotencyModel.js";

/**
 * Applies an event to the idempotency model; the hosts decide by the production reducers.
 *
 * @param model - State before the event
 * @param event - Event to apply, from `listIdempotencyEvents`
 * @param defect - Defect that is switched on, or undefined
 * @returns the state after the event, not yet normalized
 *
 * @example
 * const next = stepIdempotency(model, { type: "flush", owner: 0 }, undefined);
 */
export function stepIdempotency(
    model: IdempotencyModel,
    event: IdempotencyEvent,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    switch (event.type) {
        case "ask": {
            const requested = updateAttempt(spendFaults(model, event.kvAvailable ? 0 : 1), event.attempt, {
                phase: "asked",
            });
            return requestClaim(requested, event.attempt, event.owner, event.kvAvailable, defect);
        }
        case "askOther":
            return requestClaim(
                updateAttempt(spendFaults(model, 1), event.attempt, { wasLost: true }),
                event.attempt,
                event.owner,
                true,
                defect,
            );
        case "giveUp":
            return updateAttempt(model, event.attempt, { phase: "closed", reply: mergeClaimReply(undefined, true) });
        case "start":
            return updateAttempt(model, event.attempt, {
                phase: "running",
                runs: (model.attempts[event.attempt]?.runs ?? 0) + 1,
            });
        case "finish":
            return updateAttempt(model, event.attempt, { phase: "ending", outcome: event.outcome });
        case "reportEnd":
            return reportEnd(model, event.attempt, event.owner, defect);
        case "runnerGone":
            return updateAttempt(spendFaults(model, 1), event.attempt, { phase: "closed" });
        case "flush":
            return sendToPartition(model, event.owner, { kind: "flush" }, defect);
        case "readDone":
            return sendToPartition(
                updateOwner(model, event.owner, { isReading: false }),
                event.owner,
                { kind: "read", committed: readPage(model, defect) },
                defect,
            );
        case "readFailed":
            return sendToPartition(
                updateOwner(spendFaults(model, 1), event.owner, { isReading: false }),
                event.owner,
                { kind: "readFailed" },
                defect,
            );
        case "swap":
            return attemptWrite(model, event.owner, event.fault, defect);
        case "swapUnsent":
            return handleWriteResult(spendFaults(model, 1), event.owner, { kind: "unsent" }, defect);
        case "swapGivenUp":
            return abandonWrite(model, event.owner, defect);
        case "lateSwap": {
            const write = model.delayedWrites[event.at];
            const remaining = { ...model, delayedWrites: model.delayedWrites.filter((unused, at) => at !== event.at) };
            return write === undefined ? remaining : applyWrite(remaining, write, defect);
        }
        case "ownerGone": {
            const { write } = model.owners[event.owner];
            const delayedWrites = write === undefined
                ? model.delayedWrites
                : [...model.delayedWrites, toSentWrite(write)];
            const writer = `${model.owners[event.owner].state.writer}'`;
            return updateOwner({ ...spendFaults(model, 1), delayedWrites }, event.owner, createOwner(writer));
        }
    }
}

function requestClaim(
    model: IdempotencyModel,
    at: number,
    owner: OwnerIndex,
    kvAvailable: boolean,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const requestHash = defect === "skip the body hash" ? "any" : model.attempts[at]?.body ?? "x";
    const waiting = {
        pendingId: at,
        request: { mode: "claim", key: EXPLORED_KEY, requestHash, nonce: formatNonce(at) as never },
        deadlineMs: 1,
    } as const;
    return sendToPartition(model, owner, { kind: "ask", waiting }, defect, kvAvailable);
}

function reportEnd(
    model: IdempotencyModel,
    at: number,
    owner: OwnerIndex,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const outcome = model.attempts[at]?.outcome ?? "unknown";
    const freesKey = defect === "free the key on unknown" && outcome === "unknown";
    const end = {
        key: EXPLORED_KEY,
        nonce: formatNonce(at) as never,
        outcome: freesKey ? "not_run" as const : outcome,
    };
    const answer = outcome === "ran"
        ? { kind: "generation", text: formatNonce(at), finishReason: "stop", tokens: 1, ranModel: "m" } as const
        : undefined;
    return sendToPartition(updateAttempt(model, at, { phase: "closed" }), owner, { kind: "end", end, answer }, defect);
}

function attemptWrite(
    model: IdempotencyModel,
    owner: OwnerIndex,
    fault: "none" | "lostReply" | "late",
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const { write } = model.owners[owner];
    if (write === undefined) {
        return model;
    }
    const withLostReply = updateOwner(spendFaults(model, 1), owner, { write: { ...write, wasLost: true } });
    switch (fault) {
        case "none": {
            const next = applyWrite(model, write, defect);
            const result = next.revision > model.revision
                ? { kind: "applied", revision: next.revision } as const
                : { kind: "conflict", current: readEntry(next, defect) } as const;
            return handleWriteResult(next, owner, { kind: "answered", result }, defect);
        }
        case "lostReply":
            return applyWrite(withLostReply, write, defect);
        case "late":
            return { ...withLostReply, delayedWrites: [...withLostReply.delayedWrites, toSentWrite(write)] };
    }
}

function applyWrite(
    model: IdempotencyModel,
    write: SentWrite,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    if (write.expectedRevision !== model.revision && defect !== "ignore the revision") {
        return model;
    }
    const nonce = write.page.entries[EXPLORED_KEY]?.nonce;
    const committedNonces = nonce === undefined || model.committedNonces.includes(nonce)
        ? model.committedNonces
        : [...model.committedNonces, nonce].sort();
    return { ...model, page: write.page, revision: model.revision + 1, committedNonces };
}

function handleWriteResult(
    model: IdempotencyModel,
    owner: OwnerIndex,
    attempt: SwapAttempt,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const { write } = model.owners[owner];
    if (write === undefined) {
        return model;
    }
    const resolution = resolveSwap(attempt, {
        value: JSON.stringify(write.page),
        isOwn: value => (JSON.parse(value) as ClaimPage).writes.includes(write.nonce),
        wasLost: write.wasLost,
    });
    const withoutWrite = updateOwner(model, owner, { write: undefined });
    switch (resolution.kind) {
        case "applied":
            return sendToPartition(withoutWrite, owner, {
                kind: "written",
                outcome: {
                    kind: "applied",
                    committed: {
                        page: JSON.parse(resolution.entry.value) as ClaimPage,
                        revision: resolution.entry.revision,
                    },
                },
            }, defect);
        case "refused":
            return sendToPartition(withoutWrite, owner, {
                kind: "written",
                outcome: { kind: "refused", committed: readPage(model, defect) },
            }, defect);
        case "unavailable":
            return sendToPartition(withoutWrite, owner, { kind: "written", outcome: { kind: "unavailable" } }, defect);
        case "unknown":
            return sendToPartition(withoutWrite, owner, { kind: "written", outcome: { kind: "unknown" } }, defect);
        case "undecided":
            return model;
    }
}

function abandonWrite(
    model: IdempotencyModel,
    owner: OwnerIndex,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const { write } = model.owners[owner];
    const withoutWrite = updateOwner(model, owner, { write: undefined });
    if (write !== undefined && defect === "treat an unknown write as applied") {
        const committed = { page: write.page, revision: write.expectedRevision + 1 };
        return sendToPartition(
            withoutWrite,
            owner,
            { kind: "written", outcome: { kind: "applied", committed } },
            defect,
        );
    }
    const kind = defect === "treat an unknown write as not applied" ? "unavailable" : "unknown";
    return sendToPartition(withoutWrite, owner, { kind: "written", outcome: { kind } }, defect);
}

function sendToPartition(
    model: IdempotencyModel,
    owner: OwnerIndex,
    message: PartitionMessage,
    defect: IdempotencyDefect | undefined,
    kvAvailable = true,
): IdempotencyModel {
    const step = reducePartition(model.owners[owner].state, message, {
        nowMs: 0,
        kvAvailable,
        limits: EXPLORED_LIMITS,
    });
    const changed = updateOwner(model, owner, { state: step.state });
    return step.effects.reduce((next, effect) => runEffect(next, owner, effect, defect), changed);
}

function runEffect(
    model: IdempotencyModel,
    owner: OwnerIndex,
    effect: PartitionEffect,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    switch (effect.kind) {
        case "reply":
            return receiveReply(model, effect.pendingId, effect.reply, defect);
        case "read":
            return updateOwner(model, owner, { isReading: true });
        case "write": {
            const { expectedRevision, page, nonce } = effect;
            const sent = updateOwner(model, owner, { write: { expectedRevision, page, nonce, wasLost: false } });
            const claims = model.owners[owner].state.write?.claims ?? [];
            return defect === "start before the claim is known"
                ? claims.reduce((next, claim) => receiveReply(next, claim.pendingId, { kind: "granted" }, defect), sent)
                : sent;
        }
        case "scheduleFlush":
            return model;
    }
}

function receiveReply(
    model: IdempotencyModel,
    at: number,
    claimReply: ClaimReply,
    defect: IdempotencyDefect | undefined,
): IdempotencyModel {
    const attempt = model.attempts[at];
    if (attempt === undefined || attempt.phase !== "asked") {
        return model;
    }
    const merged = mergeClaimReply(claimReply, attempt.wasLost && defect !== "say unavailable after a lost ask");
    return updateAttempt(model, at, { phase: merged.kind === "granted" ? "granted" : "closed", reply: merged });
}

function readPage(model: IdempotencyModel, defect: IdempotencyDefect | undefined): ReadPage {
    const entry = model.page.entries[EXPLORED_KEY];
    if (defect !== "forget the nonce" || entry === undefined) {
        return { page: model.page, revision: model.revision };
    }
    return {
        page: { entries: { [EXPLORED_KEY]: { ...entry, nonce: "" } }, writes: [] },
        revision: model.revision,
    };
}

function readEntry(model: IdempotencyModel, defect: IdempotencyDefect | undefined) {
    const { page, revision } = readPage(model, defect);
    return { value: JSON.stringify(page), revision };
}

function toSentWrite(write: SentWrite): SentWrite {
    return { expectedRevision: write.expectedRevision, page: write.page, nonce: write.nonce };
}

function formatNonce(at: number): string {
    return `n${at}`;
}

function spendFaults(model: IdempotencyModel, faults: number): IdempotencyModel {
    return { ...model, faultsLeft: model.faultsLeft - faults };
}

function updateAttempt(model: IdempotencyModel, at: number, change: Partial<AttemptModel>): IdempotencyModel {
    return {
        ...model,
        attempts: model.attempts.map((attempt, index) => index === at ? { ...attempt, ...change } : attempt),
    };
}

function updateOwner(model: IdempotencyModel, at: OwnerIndex, change: Partial<OwnerModel>): IdempotencyModel {
    const [first, second] = model.owners;
    return at === 0
        ? { ...model, owners: [{ ...first, ...change }, second] }
        : { ...model, owners: [first, { ...second, ...change }] };
}
