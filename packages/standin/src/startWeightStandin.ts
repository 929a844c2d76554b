import { setTimeout as wait } from "node:timers/promises";
import { z } from "zod";
import { createFaultRoute, createStandinServer, sendJson, serverFaultShape } from "./createStandinServer.js";
import type { StandinRoute } from "./createStandinServer.js";
import type { StandinAddress } from "./startKvStandin.js";

/** Speed and limits of the weight store. */
export interface WeightLimits {
    /** Duration of one load at full speed, in milliseconds. */
    readonly loadMs: number;
    /** Largest number of concurrent loads at full speed; above it, all of them slow down. */
    readonly maxInTransit: number;
    /** Number of loads that may start per second; undefined for no limit. */
    readonly startsPerSecond: number | undefined;
}

/** Faults of the weight-store stand-in. */
export type WeightFaults = z.infer<typeof faultSchema>;

/** Record of the weight-store stand-in, as `GET /record` returns it. */
export interface WeightRecord {
    readonly loads: number;
    readonly failed: number;
    readonly inTransit: number;
    /** Largest number of concurrent loads so far. */
    readonly maxInTransit: number;
    /** Start of each load, in milliseconds since the start of the stand-in. */
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

/** Limits that the brief states: 250 ms per load, 8 concurrent loads, 2 starts per second. */
export const DEFAULT_WEIGHT_LIMITS: WeightLimits = { loadMs: 250, maxInTransit: 8, startsPerSecond: 2 };

/** Size of the weights of every adapter, in bytes. */
const WEIGHTS_SIZE_BYTES = 32 * 1024 * 1024;
/** Interval at which the progress of a transfer is updated, in milliseconds. */
const TRANSFER_STEP_MS = 5;
const MS_PER_SECOND = 1000;
/** Largest number of recorded start times; older ones are discarded. */
const MAX_RECORDED_STARTS = 10_000;

const faultSchema = z.strictObject({
    failNext: z.int().min(0).optional(),
    stallMs: z.int().min(0).optional(),
    ...serverFaultShape,
});

/**
 * Starts a small weight store with limits on concurrent loads and on starts per second.
 *
 * @param address - Address to listen on; port 0 chooses a free one
 * @param initialLimits - Initial speed and limits
 * @returns the running stand-in
 *
 * @example
 * const store = await startWeightStandin({ host: "127.0.0.1", port: 0 }, DEFAULT_WEIGHT_LIMITS);
 */
export async function startWeightStandin(address: StandinAddress, initialLimits: WeightLimits): Promise<WeightStandin> {
    let limits = initialLimits;
    const startMs = performance.now();
    const startedAtMs: number[] = [];
    let loads = 0;
    let failed = 0;
    let inTransit = 0;
    let maxInTransit = 0;
    let failNext = 0;
    let stallMs = 0;
    let nextStartMs = 0;
    const waitForStartSlot = async (): Promise<void> => {
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
        let remainingMs = limits.loadMs + stallMs;
        let lastUpdateMs = performance.now();
        while (remainingMs > 0) {
            await wait(TRANSFER_STEP_MS);
            const nowMs = performance.now();
            remainingMs -= (nowMs - lastUpdateMs) * Math.min(1, limits.maxInTransit / inTransit);
            lastUpdateMs = nowMs;
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
        { method: "GET", path: "/info/:weights", handle: () => ({ sizeBytes: WEIGHTS_SIZE_BYTES }) },
        {
            method: "GET",
            path: "/weights/:weights",
            handle: async request => {
                await waitForStartSlot();
                loads += 1;
                startedAtMs.push(performance.now() - startMs);
                startedAtMs.splice(0, Math.max(0, startedAtMs.length - MAX_RECORDED_STARTS));
                await transfer();
                if (failNext > 0) {
                    failNext -= 1;
                    failed += 1;
                    sendJson(request.res, 500, { error: { message: "the load failed" } });
                    return undefined;
                }
                return { weights: request.params["weights"] };
            },
        },
        createFaultRoute(faultSchema, setFaults),
        { method: "GET", path: "/record", handle: readRecord },
    ];
    const server = await createStandinServer({ ...address, routes });
    const setLimits: WeightStandin["setLimits"] = changed => {
        limits = { ...limits, ...changed };
    };
    return { url: server.url, setFaults, setLimits, record: readRecord, close: () => server.close() };
}
