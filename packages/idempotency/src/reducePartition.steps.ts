import { brandId } from "@fulmarcleat/ids";
import type { Nonce } from "@fulmarcleat/ids";
import { fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { EMPTY_PAGE } from "./claimPage.js";
import type { ClaimPage } from "./claimPage.js";
import { createPartitionState } from "./partitionState.js";
import type { PartitionLimits, PartitionMessage, PartitionState } from "./partitionState.js";
import { reducePartition } from "./reducePartition.js";

const SEQUENCE_COUNT = 500;
const LIMITS: PartitionLimits = {
    retentionMs: 1_000_000,
    maxRunMs: 5000,
    maxPageBytes: 500,
    maxAnswerBytes: 500,
    retryAfterMs: 1000,
};

interface Store {
    page: ClaimPage;
    revision: number;
}

type Move =
    | { readonly kind: "ask"; readonly mode: "claim" | "look"; readonly key: string; readonly body: string }
    | { readonly kind: "end"; readonly at: number; readonly outcome: "ran" | "not_run" | "unknown" }
    | { readonly kind: "flush" | "read" | "readFailed" | "tick" | "intrude" }
    | { readonly kind: "write"; readonly fault: "none" | "unavailable" | "appliedUnknown" | "lostUnknown" };

const moveArbitrary: fc.Arbitrary<Move> = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("ask" as const),
            mode: fc.constantFrom("claim" as const, "look" as const),
            key: fc.constantFrom("a", "b", "c", "__proto__", "constructor"),
            body: fc.constantFrom("x", "y"),
        }),
    },
    fc.record({
        kind: fc.constant("end" as const),
        at: fc.nat(20),
        outcome: fc.constantFrom("ran" as const, "not_run" as const, "unknown" as const),
    }),
    fc.record({ kind: fc.constantFrom("flush" as const, "read" as const, "readFailed" as const) }),
    fc.record({ kind: fc.constantFrom("flush" as const, "read" as const, "tick" as const, "intrude" as const) }),
    fc.record({
        kind: fc.constant("write" as const),
        fault: fc.constantFrom(
            "none" as const,
            "none" as const,
            "unavailable" as const,
            "appliedUnknown" as const,
            "lostUnknown" as const,
        ),
    }),
);

Then("reducePartition keeps its invariants under every random sequence of messages", () => {
    fc.assert(
        fc.property(fc.array(moveArbitrary, { maxLength: 60 }), fc.boolean(), (sequence, kvAvailable) => {
            runSequence(sequence, kvAvailable);
        }),
        { numRuns: SEQUENCE_COUNT },
    );
});

function runSequence(sequence: readonly Move[], kvAvailable: boolean): void {
    const store: Store = { page: EMPTY_PAGE, revision: 0 };
    const replied = new Set<number>();
    const requests: { readonly key: string; readonly nonce: string }[] = [];
    let state: PartitionState = createPartitionState("w");
    let nowMs = 0;
    for (const move of sequence) {
        nowMs += 1;
        const message = toMessage(move, state, store, requests);
        if (message === undefined) {
            continue;
        }
        const step = reducePartition(state, message, { nowMs, kvAvailable, limits: LIMITS });
        state = step.state;
        for (const effect of step.effects) {
            if (effect.kind === "reply") {
                ok(!replied.has(effect.pendingId), "a claim request gets one reply");
                replied.add(effect.pendingId);
                const { key, nonce } = requests[effect.pendingId] ?? { key: "", nonce: "" };
                if (effect.reply.kind === "granted") {
                    strictEqual(
                        findNonce(store.page, key),
                        nonce,
                        "a claim is granted only once its write is committed",
                    );
                }
                if (effect.reply.kind === "unavailable") {
                    ok(findNonce(store.page, key) !== nonce, "a committed claim never gets the reply unavailable");
                }
            }
            if (effect.kind === "write") {
                ok(
                    JSON.stringify(effect.page.entries).length < 2 * LIMITS.maxPageBytes,
                    "the page stays below twice its size limit",
                );
            }
        }
    }
}

function toMessage(
    move: Move,
    state: PartitionState,
    store: Store,
    requests: { readonly key: string; readonly nonce: string }[],
): PartitionMessage | undefined {
    switch (move.kind) {
        case "ask": {
            const id = requests.length;
            const nonce = brandId<Nonce>(`n${id}`);
            requests.push({ key: move.key, nonce });
            const claimRequest = { mode: move.mode, key: move.key, requestHash: move.body, nonce };
            return { kind: "ask", waiting: { pendingId: id, request: claimRequest, deadlineMs: id * 5 } };
        }
        case "end": {
            const ended = requests[move.at];
            const end = ended === undefined
                ? undefined
                : { key: ended.key, nonce: brandId<Nonce>(ended.nonce), outcome: move.outcome };
            return end === undefined || findNonce(store.page, end.key) !== end.nonce
                ? undefined
                : { kind: "end", end, answer: undefined };
        }
        case "intrude":
            store.revision += 1;
            return undefined;
        case "read":
            return { kind: "read", committed: { ...store } };
        case "flush":
        case "readFailed":
        case "tick":
            return { kind: move.kind };
        case "write":
            return completeWrite(move.fault, state, store);
    }
}

function completeWrite(
    fault: "none" | "unavailable" | "appliedUnknown" | "lostUnknown",
    state: PartitionState,
    store: Store,
): PartitionMessage | undefined {
    if (state.write === undefined) {
        return undefined;
    }
    const isCurrent = state.revision === store.revision;
    if (isCurrent && (fault === "none" || fault === "appliedUnknown")) {
        store.page = state.write.page;
        store.revision += 1;
    }
    switch (fault) {
        case "none":
            return {
                kind: "written",
                outcome: { kind: isCurrent ? "applied" : "refused", committed: { ...store } },
            };
        case "unavailable":
            return { kind: "written", outcome: { kind: "unavailable" } };
        case "appliedUnknown":
        case "lostUnknown":
            return { kind: "written", outcome: { kind: "unknown" } };
    }
}

function findNonce(page: ClaimPage, key: string): string | undefined {
    return Object.hasOwn(page.entries, key) ? page.entries[key]?.nonce : undefined;
}
