import { reducePropagation } from "@fulmarcleat/config";
import type { PropagationEffect, PropagationMessage, PropagationState, PropagationTimes } from "@fulmarcleat/config";
import { brandId, createRandom } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";

interface Schedule {
    readonly name: string;
    readonly times: PropagationTimes;
    /** Time between two comparisons by digest, in milliseconds. */
    readonly refreshMs: number;
}

interface Case {
    readonly name: string;
    readonly loss: number;
    /** One target takes nothing in during these seconds. */
    readonly silent: readonly [number, number] | undefined;
}

interface Flying {
    readonly atMs: number;
    readonly run: () => void;
}

const TARGETS = 8;
const SECONDS = 1800;
const CHANGE_EVERY_MS = 950;
const ONE_WAY_MS = 2;
const CHANGE_BYTES = 420;
const FRAME_BYTES = 60;
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

const CASES: readonly Case[] = [
    { name: "no loss", loss: 0, silent: undefined },
    { name: "1 in 100 lost", loss: 0.01, silent: undefined },
    { name: "10 in 100 lost", loss: 0.1, silent: undefined },
    { name: "30 in 100 lost", loss: 0.3, silent: undefined },
    { name: "one target silent for 60 s", loss: 0.01, silent: [600, 660] },
];

function createTimes(firstMs: number, growth: number, longestMs: number): PropagationTimes {
    return { firstMs, growth, longestMs, stopsOnAck: true };
}

interface Outcome {
    readonly bytes: number;
    readonly delays: readonly number[];
}

function simulate(schedule: Schedule, conditions: Case): Outcome {
    const random = createRandom(SEED);
    const hosts = Array.from({ length: TARGETS }, (unused, at) => brandId<HostId>(`host-${at}`));
    const held = new Map<HostId, number>(hosts.map(host => [host, 0]));
    const acceptedMs: number[] = [];
    const reachedMs = new Map<HostId, number[]>(hosts.map(host => [host, []]));
    let flying: readonly Flying[] = [];
    let bytes = 0;
    let nowMs = 0;
    let state: PropagationState = { seq: 0, peers: [] };
    const transmit = (host: HostId, size: number, run: () => void): void => {
        bytes += size;
        const second = nowMs / MS_PER_SECOND;
        const isSilent = host === hosts[0] && conditions.silent !== undefined && second >= conditions.silent[0]
            && second < conditions.silent[1];
        if (random.next() >= conditions.loss && !isSilent) {
            flying = [...flying, { atMs: nowMs + ONE_WAY_MS, run }];
        }
    };
    const push = (effect: PropagationEffect): void => {
        const seq = acceptedMs.length;
        if (seq <= effect.afterSeq) {
            return;
        }
        transmit(effect.host, FRAME_BYTES + (seq - effect.afterSeq) * CHANGE_BYTES, () => {
            const before = held.get(effect.host) ?? 0;
            for (let at = before; at < seq; at += 1) {
                reachedMs.get(effect.host)?.push(nowMs);
            }
            held.set(effect.host, Math.max(before, seq));
            reply(effect.host);
        });
    };
    const reply = (host: HostId): void => {
        const seq = held.get(host) ?? 0;
        transmit(host, FRAME_BYTES, () => send({ kind: "acked", host, seq }));
    };
    const send = (message: PropagationMessage): void => {
        const step = reducePropagation(state, message, { nowMs, times: schedule.times });
        state = step.state;
        step.effects.forEach(push);
    };
    send({ kind: "targets", targets: hosts.map(host => ({ host, seq: 0 })) });
    for (nowMs = 0; nowMs < SECONDS * MS_PER_SECOND; nowMs += STEP_MS) {
        const due = flying.filter(entry => entry.atMs <= nowMs);
        flying = flying.filter(entry => entry.atMs > nowMs);
        due.forEach(entry => entry.run());
        if (nowMs % CHANGE_EVERY_MS === 0) {
            acceptedMs.push(nowMs);
            send({ kind: "inForce", seq: acceptedMs.length });
        }
        if (nowMs % schedule.refreshMs === 0) {
            hosts.forEach(host => transmit(host, FRAME_BYTES, () => reply(host)));
        }
        send({ kind: "tick" });
    }
    const delays = acceptedMs.flatMap((atMs, seq) => {
        const all = hosts.map(host => reachedMs.get(host)?.[seq]);
        return all.some(time => time === undefined) ? [] : [Math.max(...all.map(time => time ?? 0)) - atMs];
    });
    return { bytes, delays };
}

process.stdout.write(`${TARGETS} targets, a change every ${CHANGE_EVERY_MS} ms for ${SECONDS} s, seed ${SEED}\n`);
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
