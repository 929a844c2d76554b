import { mergeClaimReply, reducePartition } from "@fulmarcleat/idempotency";
import type { ClaimPage, PartitionEffect, PartitionMessage, ReadPage } from "@fulmarcleat/idempotency";
import { judgeSwap } from "@fulmarcleat/kv";
import type { SwapAttempt } from "@fulmarcleat/kv";
import type { ClaimReply } from "@fulmarcleat/wire";
import type { IdempotencyDefect } from "./idempotencyDefect.js";
import type { IdempotencyEvent } from "./idempotencyEvent.js";
import { createOwner, EXPLORED_KEY, EXPLORED_LIMITS } from "./idempotencyWorld.js";
import type { AttemptWorld, IdempotencyWorld, OwnerIndex, OwnerWorld, SentWrite } from "./idempotencyWorld.js";

/**
 * Gives the world after an event; hosts decide by the reducers that run in production.
 *
 * @param world - The world
 * @param event - What happens
 * @param defect - Defect that is switched on
 * @returns the next world
 *
 * @example
 * const next = stepIdempotency(world, { type: "flush", owner: 0 }, undefined);
 */
export function stepIdempotency(
    world: IdempotencyWorld,
    event: IdempotencyEvent,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    switch (event.type) {
        case "ask": {
            const asked = changeAttempt(spend(world, event.kvAvailable ? 0 : 1), event.attempt, { phase: "asked" });
            return ask(asked, event.attempt, event.owner, event.kvAvailable, defect);
        }
        case "askOther":
            return ask(
                changeAttempt(spend(world, 1), event.attempt, { wasLost: true }),
                event.attempt,
                event.owner,
                true,
                defect,
            );
        case "giveUp":
            return changeAttempt(world, event.attempt, { phase: "closed", told: mergeClaimReply(undefined, true) });
        case "start":
            return changeAttempt(world, event.attempt, {
                phase: "running",
                runs: (world.attempts[event.attempt]?.runs ?? 0) + 1,
            });
        case "finish":
            return changeAttempt(world, event.attempt, { phase: "ending", outcome: event.outcome });
        case "reportEnd":
            return reportEnd(world, event.attempt, event.owner, defect);
        case "runnerGone":
            return changeAttempt(spend(world, 1), event.attempt, { phase: "closed" });
        case "flush":
            return deliver(world, event.owner, { kind: "flush" }, defect);
        case "readDone":
            return deliver(
                changeOwner(world, event.owner, { isReading: false }),
                event.owner,
                { kind: "read", committed: readPage(world, defect) },
                defect,
            );
        case "readFailed":
            return deliver(
                changeOwner(spend(world, 1), event.owner, { isReading: false }),
                event.owner,
                { kind: "readFailed" },
                defect,
            );
        case "swap":
            return swap(world, event.owner, event.fault, defect);
        case "swapUnsent":
            return judge(spend(world, 1), event.owner, { kind: "unsent" }, defect);
        case "swapGivenUp":
            return giveUpSwap(world, event.owner, defect);
        case "lateSwap": {
            const write = world.late[event.at];
            const rest = { ...world, late: world.late.filter((unused, at) => at !== event.at) };
            return write === undefined ? rest : applySwap(rest, write, defect);
        }
        case "ownerGone": {
            const { write } = world.owners[event.owner];
            const late = write === undefined ? world.late : [...world.late, toSent(write)];
            const writer = `${world.owners[event.owner].state.writer}'`;
            return changeOwner({ ...spend(world, 1), late }, event.owner, createOwner(writer));
        }
    }
}

function ask(
    world: IdempotencyWorld,
    at: number,
    owner: OwnerIndex,
    kvAvailable: boolean,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const requestHash = defect === "skip the body hash" ? "any" : world.attempts[at]?.body ?? "x";
    const waiting = {
        askId: at,
        ask: { mode: "claim", key: EXPLORED_KEY, requestHash, nonce: toNonce(at) as never },
        deadlineMs: 1,
    } as const;
    return deliver(world, owner, { kind: "ask", waiting }, defect, kvAvailable);
}

function reportEnd(
    world: IdempotencyWorld,
    at: number,
    owner: OwnerIndex,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const outcome = world.attempts[at]?.outcome ?? "unknown";
    const isFreed = defect === "free the key on unknown" && outcome === "unknown";
    const end = { key: EXPLORED_KEY, nonce: toNonce(at) as never, outcome: isFreed ? "not_run" as const : outcome };
    const answer = outcome === "ran"
        ? { kind: "generation", text: toNonce(at), finishReason: "stop", tokens: 1, ranModel: "m" } as const
        : undefined;
    return deliver(changeAttempt(world, at, { phase: "closed" }), owner, { kind: "end", end, answer }, defect);
}

function swap(
    world: IdempotencyWorld,
    owner: OwnerIndex,
    fault: "none" | "lostReply" | "late",
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const { write } = world.owners[owner];
    if (write === undefined) {
        return world;
    }
    const lost = changeOwner(spend(world, 1), owner, { write: { ...write, wasLost: true } });
    switch (fault) {
        case "none": {
            const next = applySwap(world, write, defect);
            const result = next.revision > world.revision
                ? { kind: "applied", revision: next.revision } as const
                : { kind: "conflict", current: readEntry(next, defect) } as const;
            return judge(next, owner, { kind: "answered", result }, defect);
        }
        case "lostReply":
            return applySwap(lost, write, defect);
        case "late":
            return { ...lost, late: [...lost.late, toSent(write)] };
    }
}

function applySwap(
    world: IdempotencyWorld,
    write: SentWrite,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    if (write.expectedRevision !== world.revision && defect !== "ignore the revision") {
        return world;
    }
    const nonce = write.page.entries[EXPLORED_KEY]?.nonce;
    const committed = nonce === undefined || world.committed.includes(nonce)
        ? world.committed
        : [...world.committed, nonce].sort();
    return { ...world, page: write.page, revision: world.revision + 1, committed };
}

function judge(
    world: IdempotencyWorld,
    owner: OwnerIndex,
    attempt: SwapAttempt,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const { write } = world.owners[owner];
    if (write === undefined) {
        return world;
    }
    const verdict = judgeSwap(attempt, {
        value: JSON.stringify(write.page),
        isOwn: value => (JSON.parse(value) as ClaimPage).writes.includes(write.nonce),
        wasLost: write.wasLost,
    });
    const done = changeOwner(world, owner, { write: undefined });
    switch (verdict.kind) {
        case "applied":
            return deliver(done, owner, {
                kind: "written",
                outcome: {
                    kind: "applied",
                    committed: {
                        page: JSON.parse(verdict.entry.value) as ClaimPage,
                        revision: verdict.entry.revision,
                    },
                },
            }, defect);
        case "refused":
            return deliver(done, owner, {
                kind: "written",
                outcome: { kind: "refused", committed: readPage(world, defect) },
            }, defect);
        case "unavailable":
            return deliver(done, owner, { kind: "written", outcome: { kind: "unavailable" } }, defect);
        case "unknown":
            return deliver(done, owner, { kind: "written", outcome: { kind: "unknown" } }, defect);
        case "undecided":
            return world;
    }
}

function giveUpSwap(
    world: IdempotencyWorld,
    owner: OwnerIndex,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const { write } = world.owners[owner];
    const done = changeOwner(world, owner, { write: undefined });
    if (write !== undefined && defect === "treat an unknown write as applied") {
        const committed = { page: write.page, revision: write.expectedRevision + 1 };
        return deliver(done, owner, { kind: "written", outcome: { kind: "applied", committed } }, defect);
    }
    const kind = defect === "treat an unknown write as not applied" ? "unavailable" : "unknown";
    return deliver(done, owner, { kind: "written", outcome: { kind } }, defect);
}

function deliver(
    world: IdempotencyWorld,
    owner: OwnerIndex,
    message: PartitionMessage,
    defect: IdempotencyDefect | undefined,
    kvAvailable = true,
): IdempotencyWorld {
    const step = reducePartition(world.owners[owner].state, message, {
        nowMs: 0,
        kvAvailable,
        limits: EXPLORED_LIMITS,
    });
    const changed = changeOwner(world, owner, { state: step.state });
    return step.effects.reduce((next, effect) => perform(next, owner, effect, defect), changed);
}

function perform(
    world: IdempotencyWorld,
    owner: OwnerIndex,
    effect: PartitionEffect,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    switch (effect.kind) {
        case "reply":
            return reply(world, effect.askId, effect.reply, defect);
        case "read":
            return changeOwner(world, owner, { isReading: true });
        case "write": {
            const { expectedRevision, page, nonce } = effect;
            const sent = changeOwner(world, owner, { write: { expectedRevision, page, nonce, wasLost: false } });
            const claims = world.owners[owner].state.write?.claims ?? [];
            return defect === "start before the claim is known"
                ? claims.reduce((next, claim) => reply(next, claim.askId, { kind: "granted" }, defect), sent)
                : sent;
        }
        case "scheduleFlush":
            return world;
    }
}

function reply(
    world: IdempotencyWorld,
    at: number,
    told: ClaimReply,
    defect: IdempotencyDefect | undefined,
): IdempotencyWorld {
    const attempt = world.attempts[at];
    if (attempt === undefined || attempt.phase !== "asked") {
        return world;
    }
    const merged = mergeClaimReply(told, attempt.wasLost && defect !== "say unavailable after a lost ask");
    return changeAttempt(world, at, { phase: merged.kind === "granted" ? "granted" : "closed", told: merged });
}

function readPage(world: IdempotencyWorld, defect: IdempotencyDefect | undefined): ReadPage {
    const entry = world.page.entries[EXPLORED_KEY];
    if (defect !== "forget the nonce" || entry === undefined) {
        return { page: world.page, revision: world.revision };
    }
    return {
        page: { entries: { [EXPLORED_KEY]: { ...entry, nonce: "" } }, writes: [] },
        revision: world.revision,
    };
}

function readEntry(world: IdempotencyWorld, defect: IdempotencyDefect | undefined) {
    const { page, revision } = readPage(world, defect);
    return { value: JSON.stringify(page), revision };
}

function toSent(write: SentWrite): SentWrite {
    return { expectedRevision: write.expectedRevision, page: write.page, nonce: write.nonce };
}

function toNonce(at: number): string {
    return `n${at}`;
}

function spend(world: IdempotencyWorld, faults: number): IdempotencyWorld {
    return { ...world, faultsLeft: world.faultsLeft - faults };
}

function changeAttempt(world: IdempotencyWorld, at: number, change: Partial<AttemptWorld>): IdempotencyWorld {
    return {
        ...world,
        attempts: world.attempts.map((attempt, index) => index === at ? { ...attempt, ...change } : attempt),
    };
}

function changeOwner(world: IdempotencyWorld, at: OwnerIndex, change: Partial<OwnerWorld>): IdempotencyWorld {
    const [first, second] = world.owners;
    return at === 0
        ? { ...world, owners: [{ ...first, ...change }, second] }
        : { ...world, owners: [first, { ...second, ...change }] };
}
