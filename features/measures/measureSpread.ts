import { reducePropagation } from "@fulmarcleat/config";
import type { PropagationEffect, PropagationMessage, PropagationState, PropagationTimes } from "@fulmarcleat/config";
import { brandId, createRandom } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";

interface Schedule {
    readonly name: string;
    readonly times: PropagationTimes;
    /** Time between two comparisons by digest with every target, in milliseconds. */
    readonly refreshMs: number;
}

interface NetworkCase {
    readonly name: string;
    /** Share of messages that are lost. */
    readonly loss: number;
    /** Start and end of the time in which one target receives nothing, in seconds; undefined for none. */
    readonly unresponsiveSeconds: readonly [number, number] | undefined;
}

interface InFlightMessage {
    readonly atMs: number;
    readonly run: () => void;
}

/** Hosts that receive the changes. */
const TARGET_COUNT = 8;
/** Simulated time, in seconds. */
const SECONDS = 1800;
/** Time between two changes, in milliseconds. */
const CHANGE_INTERVAL_MS = 950;
/** Network delay of a message, in milliseconds. */
const NETWORK_DELAY_MS = 2;
/** Size of a change in a message, in bytes. */
const CHANGE_BYTES = 420;
/** Size of a message without changes, in bytes. */
const MESSAGE_BYTES = 60;
/** Step of the simulated time, in milliseconds. */
const STEP_MS = 10;
const SEED = 11;
const MS_PER_SECOND = 1000;

const SCHEDULES: readonly Schedule[] = [
    { name: "fixed refresh, 1 s", times: createTimes(1000, 1, 1000), refreshMs: 1000 },
    { name: "fixed refresh, 5 s", times: createTimes(5000, 1, 5000), refreshMs: 5000 },
    { name: "plain resend, 0.3 s", times: createTimes(300, 1, 300), refreshMs: 30_000 },
    { name: "staged, 0.3 s, delta 0.3", times: createTimes(300, 1.3, 30_000), refreshMs: 30_000 },
    { name: "staged, 0.3 s, delta 1", times: createTimes(300, 2, 30_000), refreshMs: 30_000 },
];

const CASES: readonly NetworkCase[] = [
    { name: "no loss", loss: 0, unresponsiveSeconds: undefined },
    { name: "1 in 100 lost", loss: 0.01, unresponsiveSeconds: undefined },
    { name: "10 in 100 lost", loss: 0.1, unresponsiveSeconds: undefined },
    { name: "30 in 100 lost", loss: 0.3, unresponsiveSeconds: undefined },
    { name: "one target unresponsive for 60 s", loss: 0.01, unresponsiveSeconds: [600, 660] },
];

function createTimes(firstMs: number, growth: number, longestMs: number): PropagationTimes {
    return { firstMs, growth, longestMs, stopsOnAck: true };
}

interface SimulationResult {
    /** Bytes sent in both directions. */
    readonly bytes: number;
    /** Time until each change reached every target, in milliseconds. */
    readonly delays: readonly number[];
}

function simulate(schedule: Schedule, conditions: NetworkCase): SimulationResult {
    const random = createRandom(SEED);
    const hosts = Array.from({ length: TARGET_COUNT }, (unused, at) => brandId<HostId>(`host-${at}`));
    const heldSeqs = new Map<HostId, number>(hosts.map(host => [host, 0]));
    const acceptedMs: number[] = [];
    const reachedMs = new Map<HostId, number[]>(hosts.map(host => [host, []]));
    let inFlight: readonly InFlightMessage[] = [];
    let bytes = 0;
    let nowMs = 0;
    let state: PropagationState = { seq: 0, peers: [] };
    const transmit = (host: HostId, size: number, run: () => void): void => {
        bytes += size;
        const second = nowMs / MS_PER_SECOND;
        const isUnresponsive = host === hosts[0] && conditions.unresponsiveSeconds !== undefined
            && second >= conditions.unresponsiveSeconds[0]
            && second < conditions.unresponsiveSeconds[1];
        if (random.next() >= conditions.loss && !isUnresponsive) {
            inFlight = [...inFlight, { atMs: nowMs + NETWORK_DELAY_MS, run }];
        }
    };
    const push = (effect: PropagationEffect): void => {
        const seq = acceptedMs.length;
        if (seq <= effect.afterSeq) {
            return;
        }
        transmit(effect.host, MESSAGE_BYTES + (seq - effect.afterSeq) * CHANGE_BYTES, () => {
            const before = heldSeqs.get(effect.host) ?? 0;
            for (let at = before; at < seq; at += 1) {
                reachedMs.get(effect.host)?.push(nowMs);
            }
            heldSeqs.set(effect.host, Math.max(before, seq));
            reply(effect.host);
        });
    };
    const reply = (host: HostId): void => {
        const seq = heldSeqs.get(host) ?? 0;
        transmit(host, MESSAGE_BYTES, () => send({ kind: "acked", host, seq }));
    };
    const send = (message: PropagationMessage): void => {
        const step = reducePropagation(state, message, { nowMs, times: schedule.times });
        state = step.state;
        step.effects.forEach(push);
    };
    send({ kind: "targets", targets: hosts.map(host => ({ host, seq: 0 })) });
    for (nowMs = 0; nowMs < SECONDS * MS_PER_SECOND; nowMs += STEP_MS) {
        const due = inFlight.filter(entry => entry.atMs <= nowMs);
        inFlight = inFlight.filter(entry => entry.atMs > nowMs);
        due.forEach(entry => entry.run());
        if (nowMs % CHANGE_INTERVAL_MS === 0) {
            acceptedMs.push(nowMs);
            send({ kind: "inForce", seq: acceptedMs.length });
        }
        if (nowMs % schedule.refreshMs === 0) {
            hosts.forEach(host => transmit(host, MESSAGE_BYTES, () => reply(host)));
        }
        send({ kind: "tick" });
    }
    const delays = acceptedMs.flatMap((atMs, seq) => {
        const all = hosts.map(host => reachedMs.get(host)?.[seq]);
        return all.some(time => time === undefined) ? [] : [Math.max(...all.map(time => time ?? 0)) - atMs];
    });
    return { bytes, delays };
}

process.stdout.write(
    `${TARGET_COUNT} targets, a change every ${CHANGE_INTERVAL_MS} ms for ${SECONDS} s, seed ${SEED}\n`,
);
process.stdout.write(
    "| case | schedule | bytes a second | to all: median ms | 99 in 100 ms | maximum ms | over 9 s |\n",
);
process.stdout.write("|---|---|---|---|---|---|---|\n");
for (const conditions of CASES) {
    for (const schedule of SCHEDULES) {
        const { bytes, delays } = simulate(schedule, conditions);
        const sorted = [...delays].sort((a, b) => a - b);
        const pick = (share: number): number =>
            sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
        const cells = [
            conditions.name,
            schedule.name,
            Math.round(bytes / SECONDS),
            pick(0.5),
            pick(0.99),
            sorted.at(-1) ?? 0,
            sorted.filter(delay => delay > 9000).length,
        ];
        process.stdout.write(`| ${cells.join(" | ")} |\n`);
    }
}
