import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { applyChanges, EMPTY_SNAPSHOT, listAllResources } from "@fulmarcleat/resources";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";
import { deepStrictEqual, fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { parseConfigLog } from "./parseConfigLog.js";
import { INITIAL_HOST_CONFIG, reduceHostConfig } from "./reduceHostConfig.js";
import type { HostConfigMessage, HostConfigState } from "./reduceHostConfig.js";

const CHANGES = 12;
const NAMES = 3;

type MessageTuple = readonly [string, ...number[]];

Then("reduceHostConfig holds a growing prefix of the changes under every sequence of messages", () => {
    const number = fc.integer({ min: 0, max: CHANGES });
    const message = fc.oneof(
        fc.tuple(fc.constant("log"), number, number, number),
        fc.tuple(fc.constant("pushed"), number, number),
        fc.tuple(fc.constant("loaded"), number),
        fc.tuple(fc.constant("heard"), number),
        fc.tuple(fc.constant("greeted")),
        fc.tuple(fc.constant("loadFailed")),
    );
    fc.assert(fc.property(fc.array(message, { maxLength: 30 }), tuples => {
        let state = INITIAL_HOST_CONFIG;
        for (const tuple of tuples) {
            const next = reduceHostConfig(state, toMessage(tuple as unknown as MessageTuple)).state;
            ok(next.snapshot.seq >= state.snapshot.seq);
            ok(!next.ready || next.complete);
            ok(!state.ready || next.ready);
            state = next;
        }
        deepStrictEqual(
            formatVersions(listAllResources(state.snapshot)),
            formatVersions(listResourcesAt(state.snapshot.seq)),
        );
        state.recent.forEach((change, at) => strictEqual(change.seq, (state.recent[0]?.seq ?? 0) + at));
    }));
});

Then(/^readiness after (\[.*\]) is (true|false)$/, (text: string, ready: string) => {
    const tuples = JSON.parse(text) as readonly MessageTuple[];
    const state = tuples.reduce<HostConfigState>(
        (present, tuple) => reduceHostConfig(present, toMessage(tuple)).state,
        INITIAL_HOST_CONFIG,
    );
    strictEqual(String(state.ready), ready);
});

Then("parseConfigLog returns a log or throws for every JSON value", () => {
    fc.assert(fc.property(fc.json(), text => {
        try {
            ok(Array.isArray(parseConfigLog(text).changes));
        }
        catch (err) {
            ok(err instanceof Error);
        }
    }));
});

function toMessage(tuple: MessageTuple): HostConfigMessage {
    const [kind, first = 0, second = 0, third = 0] = tuple;
    switch (kind) {
        case "log": {
            const from = Math.max(1, Math.min(second, first + 1));
            return {
                kind,
                log: {
                    baseSeq: Math.min(first, Math.max(third, first)),
                    changes: listChanges(from, Math.max(third, first)),
                },
            };
        }
        case "pushed":
            return { kind, changes: listChanges(Math.max(1, first), second) };
        case "loaded":
            return { kind, seq: first, resources: listResourcesAt(first) };
        case "heard":
            return { kind, seq: first };
        case "greeted":
            return { kind };
        default:
            return { kind: "loadFailed" };
    }
}

function listChanges(from: number, to: number): readonly ConfigChange[] {
    return Array.from({ length: Math.max(0, to - from + 1) }, (unused, at) => createChange(from + at));
}

function createChange(seq: number): ConfigChange {
    const name = `caller-${seq % NAMES}`;
    const resource: Resource = {
        kind: "Caller",
        metadata: { name, generation: 1, resourceVersion: seq },
        spec: { keyHashes: [], weight: 1 },
    };
    return {
        seq,
        changeId: brandId<ChangeId>(`c${seq}`),
        by: brandId<OperatorName>("operator"),
        atMs: seq,
        op: seq % 5 === 0 ? { kind: "delete", ref: { kind: "Caller", name } } : { kind: "put", resource },
    };
}

function listResourcesAt(seq: number): readonly Resource[] {
    return listAllResources(applyChanges(EMPTY_SNAPSHOT, listChanges(1, seq)));
}

function formatVersions(resources: readonly Resource[]): readonly string[] {
    return resources.map(({ metadata }) => `${metadata.name}=${metadata.resourceVersion}`).sort();
}
