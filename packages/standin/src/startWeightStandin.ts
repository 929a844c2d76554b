import { setTimeout as wait } from "node:timers/promises";
import { z } from "zod";
import { createFaultRoute, createStandinServer, sendJson, serverFaultShape } from "./createStandinServer.js";
import type { StandinRoute } from "./createStandinServer.js";
import type { StandinAddress } from "./startKvStandin.js";

/** How the weight store limits its loads. */
export interface WeightLimits {
    /** Time of one load at full speed, in milliseconds. */
    readonly loadMs: number;
    /** Loads in transit before all of them slow down. */
    readonly maxInTransit: number;
    /** Loads started a second, where the store limits starts; undefined where it does not. */
    readonly startsPerSecond: number | undefined;
}

/** Faults of the weight store. */
export type WeightFaults = z.infer<typeof faultSchema>;

/** What the weight store saw. */
export interface WeightRecord {
    readonly loads: number;
    readonly failed: number;
    readonly inTransit: number;
    readonly maxInTransit: number;
    /** When each load started, in milliseconds since the stand-in's start. */
    readonly startedAtMs: readonly number[];
}

/** A running weight-store stand-in. */
export interface WeightStandin {
    readonly url: string;
    setFaults(faults: WeightFaults): void;
    setLimits(changed: Partial<WeightLimits>): void;
    record(): WeightRecord;
    close(): Promise<void>;
}

/** Limits of the brief: a quarter second a load, 8 in transit, 2 starts a second. */
export const DEFAULT_WEIGHT_LIMITS: WeightLimits = { loadMs: 250, maxInTransit: 8, startsPerSecond: 2 };

const SIZE_BYTES = 32 * 1024 * 1024;
const STEP_MS = 5;
const MS_PER_SECOND = 1000;
const MAX_RECORDED = 10_000;

const faultSchema = z.strictObject({
    failNext: z.int().min(0).optional(),
    stallMs: z.int().min(0).optional(),
    ...serverFaultShape,
});

/**
 * Starts a small weight store with the limits of the brief.
 *
 * @param address - Where to listen
 * @param initial - How it limits its loads at the start
 * @returns the running stand-in
 *
 * @example
 * const store = await startWeightStandin({ host: "127.0.0.1", port: 0 }, DEFAULT_WEIGHT_LIMITS);
 */
export async function startWeightStandin(address: StandinAddress, initial: WeightLimits): Promise<WeightStandin> {
    let limits = initial;
    const startMs = performance.now();
    const startedAtMs: number[] = [];
    let loads = 0;
    let failed = 0;
    let inTransit = 0;
    let maxInTransit = 0;
    let failNext = 0;
    let stallMs = 0;
    let nextStartMs = 0;
    const waitForStart = async (): Promise<void> => {
        if (limits.startsPerSecond !== undefined) {
            const nowMs = performance.now();
            const atMs = Math.max(nowMs, nextStartMs);
            nextStartMs = atMs + MS_PER_SECOND / limits.startsPerSecond;
            await wait(atMs - nowMs);
        }
    };
    const transfer = async (): Promise<void> => {
        inTransit += 1;
        maxInTransit = Math.max(maxInTransit, inTransit);
        let leftMs = limits.loadMs + stallMs;
        let lastMs = performance.now();
        while (leftMs > 0) {
            await wait(STEP_MS);
            const nowMs = performance.now();
            leftMs -= (nowMs - lastMs) * Math.min(1, limits.maxInTransit / inTransit);
            lastMs = nowMs;
        }
        inTransit -= 1;
    };
    const setFaults: WeightStandin["setFaults"] = faults => {
        failNext = faults.failNext ?? failNext;
        stallMs = faults.stallMs ?? stallMs;
        server.setFaults(faults);
    };
    const readRecord = (): WeightRecord => ({ loads, failed, inTransit, maxInTransit, startedAtMs: [...startedAtMs] });
    const routes: StandinRoute[] = [
        { method: "GET", path: "/info/:weights", answer: () => ({ sizeBytes: SIZE_BYTES }) },
        {
            method: "GET",
            path: "/weights/:weights",
            answer: async call => {
                await waitForStart();
                loads += 1;
                startedAtMs.push(performance.now() - startMs);
                startedAtMs.splice(0, Math.max(0, startedAtMs.length - MAX_RECORDED));
                await transfer();
                if (failNext > 0) {
                    failNext -= 1;
                    failed += 1;
                    sendJson(call.res, 500, { error: { message: "the load failed" } });
                    return undefined;
                }
                return { weights: call.params["weights"] };
            },
        },
        createFaultRoute(faultSchema, setFaults),
        { method: "GET", path: "/record", answer: readRecord },
    ];
    const server = await createStandinServer({ ...address, routes });
    const setLimits: WeightStandin["setLimits"] = changed => {
        limits = { ...limits, ...changed };
    };
    return { url: server.url, setFaults, setLimits, record: readRecord, close: () => server.close() };
}
