import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { deepStrictEqual, fc, strictEqual, Then } from "@fulmarcleat/testing";
import { reducePropagation } from "./reducePropagation.js";
import type { PropagationEffect, PropagationMessage, PropagationState } from "./reducePropagation.js";

const TIMES = { firstMs: 300, growth: 1.3, longestMs: 30_000, stopsOnAck: true };
const HOSTS = ["entry-1", "entry-2"].map(host => brandId<HostId>(host));
const END_MS = 1_000_000;

Then("reducePropagation brings every peer up to date, then stops pushing", () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 60 }), fc.integer({ min: 1, max: 9 }), (losses, seq) => {
        let state: PropagationState = { seq: 0, peers: [] };
        let nowMs = 0;
        let pushCount = 0;
        const send = (message: PropagationMessage): readonly PropagationEffect[] => {
            const step = reducePropagation(state, message, { nowMs, times: TIMES });
            state = step.state;
            return step.effects;
        };
        const deliver = (effects: readonly PropagationEffect[]): void =>
            effects.forEach(effect => {
                pushCount += 1;
                if (losses[pushCount] !== true) {
                    send({ kind: "acked", host: effect.host, seq: state.seq });
                }
            });
        deliver(send({ kind: "targets", targets: HOSTS.map(host => ({ host, seq: 0 })) }));
        for (let at = 1; at <= seq; at += 1) {
            deliver(send({ kind: "inForce", seq: at }));
        }
        for (; nowMs < END_MS; nowMs += TIMES.firstMs) {
            deliver(send({ kind: "tick" }));
        }
        state.peers.forEach(peer => strictEqual(peer.ackedSeq, seq));
        deepStrictEqual(send({ kind: "tick" }), []);
    }));
});

Then("reducePropagation pushes to an unresponsive peer at 0, 300, 690 and 1197 ms", () => {
    const pushes: number[] = [];
    let state: PropagationState = { seq: 0, peers: [] };
    for (let nowMs = 0; nowMs < 1500; nowMs += 1) {
        const message: PropagationMessage = nowMs > 0
            ? { kind: "tick" }
            : { kind: "targets", targets: [{ host: brandId<HostId>("entry-1"), seq: 0 }] };
        const context = { nowMs, times: TIMES };
        const opened = nowMs > 0 ? state : reducePropagation(state, message, context).state;
        const step = reducePropagation(opened, nowMs > 0 ? message : { kind: "inForce", seq: 1 }, context);
        state = step.state;
        step.effects.forEach(() => pushes.push(nowMs));
    }
    deepStrictEqual(pushes, [0, 300, 690, 1197]);
});
