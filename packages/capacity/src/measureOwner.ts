import { brandId } from "@fulmarcleat/ids";
import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    EngineId,
    HostId,
    Incarnation,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import { createEngineState, reduceEngine } from "@fulmarcleat/ownership";
import type { EngineLimits, EngineMessage, EngineState, WaitingRequest } from "@fulmarcleat/ownership";
import { DEFAULT_POLICY } from "@fulmarcleat/resources";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { createMeasure } from "./createMeasure.js";
import { measureCpu } from "./measureCpu.js";

/** Number of requests whose processor time is averaged. */
const CALLS = 300;
/** Queue lengths at which a request is measured. */
const WAITING_SIZES = [0, 16, 64, 256] as const;
/** Numbers of places in use at which a request is measured. */
const PLACES_IN_USE_SIZES = [0, 16, 64, 128] as const;
/** Deadline of every request in milliseconds; none of them expires. */
const UNREACHED_DEADLINE_MS = 1_000_000_000;
/** Number of batch slots of the engine, more than any measurement uses. */
const BATCH_SLOTS = 1024;

const LIMITS: EngineLimits = {
    queueLimit: DEFAULT_POLICY.queueLimit * 4,
    callerQueueLimit: DEFAULT_POLICY.callerQueueLimit * 8,
    agingMs: DEFAULT_POLICY.agingMs,
    maxRequestMs: DEFAULT_POLICY.maxRequestMs,
    replicaRate: DEFAULT_POLICY.replicaRate,
    batchSlots: BATCH_SLOTS,
    adapterPlaces: 1,
    fencing: "checked",
    draining: false,
};

/**
 * Measures the processor time of one request at an engine's owner, by the places in use and by the queue length.
 * A place is a slot in the engine's batch that a host holds.
 *
 * @returns two measures: by places in use and by waiting requests
 *
 * @example
 * const [byPlaces, byWaiting] = measureOwner();
 */
export function measureOwner(): readonly CapacityMeasure[] {
    return [
        createMeasure(
            { name: "owner: ask, grant and end of one request", size: "places in use", unit: "us" },
            PLACES_IN_USE_SIZES,
            places => measureRequest(places, 0),
        ),
        createMeasure(
            { name: "owner: ask, grant and end of one request", size: "waiting requests", unit: "us" },
            WAITING_SIZES,
            waiting => measureRequest(0, waiting),
        ),
    ];
}

function measureRequest(places: number, waiting: number): number {
    let state = createLoadedEngine(places, waiting);
    return measureCpu(CALLS, call => {
        const place = `measured-${call}`;
        state = applyMessage(state, { kind: "ask", waiting: createWaitingRequest(place, "hot") });
        state = applyMessage(state, { kind: "placeEnd", place: brandId<PlaceId>(place), use: "finished" });
    });
}

function createLoadedEngine(places: number, waiting: number): EngineState {
    let state = createEngineState(brandId<EngineId>("engine-1"), LIMITS);
    state = applyMessage(state, { kind: "acquired", fence: 1, former: "none", hosts: [], leaseMs: 0 });
    state = applyMessage(state, { kind: "ask", waiting: createWaitingRequest("first", "hot") }, 1);
    const loading = state.instances[0];
    if (loading === undefined) {
        throw new Error("the engine started no load for the first request");
    }
    state = applyMessage(state, { kind: "loadAnswered", instance: loading.instance, result: { kind: "done" } });
    for (let at = 0; at < places; at += 1) {
        state = applyMessage(state, { kind: "ask", waiting: createWaitingRequest(`held-${at}`, "hot") });
    }
    for (let at = 0; at < waiting; at += 1) {
        state = applyMessage(state, { kind: "ask", waiting: createWaitingRequest(`queued-${at}`, `cold-${at}`) });
    }
    return state;
}

function applyMessage(state: EngineState, message: EngineMessage, loadsAllowed = 0): EngineState {
    return reduceEngine(state, message, { nowMs: 1, loadsAllowed }).state;
}

function createWaitingRequest(place: string, adapter: string): WaitingRequest {
    return {
        place: brandId<PlaceId>(place),
        requestId: brandId<RequestId>(place),
        adapter: brandId<AdapterName>(adapter),
        version: brandId<AdapterVersion>("1"),
        weights: adapter,
        caller: brandId<CallerName>("caller"),
        priority: "normal",
        host: brandId<HostId>("entry-2"),
        incarnation: brandId<Incarnation>("entry-2-first"),
        arrivedMs: 0,
        deadlineMs: UNREACHED_DEADLINE_MS,
    };
}
