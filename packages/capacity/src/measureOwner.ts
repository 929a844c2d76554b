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
import type { EngineLimits, EngineMessage, EngineState, Waiting } from "@fulmarcleat/ownership";
import { DEFAULT_POLICY } from "@fulmarcleat/resources";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { createMeasure } from "./createMeasure.js";
import { measureCpu } from "./measureCpu.js";

const CALLS = 300;
const WAITING_SIZES = [0, 16, 64, 256] as const;
const PLACE_SIZES = [0, 16, 64, 128] as const;
const FAR_DEADLINE_MS = 1_000_000_000;
const MANY_SLOTS = 1024;

const LIMITS: EngineLimits = {
    queueLimit: DEFAULT_POLICY.queueLimit * 4,
    callerQueueLimit: DEFAULT_POLICY.callerQueueLimit * 8,
    agingMs: DEFAULT_POLICY.agingMs,
    maxRequestMs: DEFAULT_POLICY.maxRequestMs,
    replicaRate: DEFAULT_POLICY.replicaRate,
    batchSlots: MANY_SLOTS,
    adapterPlaces: 1,
    fencing: "checked",
    draining: false,
};

/**
 * Measures what one request costs an engine's owner, by the places in use and by the length of its queue.
 *
 * @returns two measures: processor time over places and over waiting requests
 *
 * @example
 * const [overPlaces, overWaiting] = measureOwner();
 */
export function measureOwner(): readonly CapacityMeasure[] {
    return [
        createMeasure(
            { name: "owner: ask, grant and end of one request", size: "places in use", unit: "us" },
            PLACE_SIZES,
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
    let state = prepare(places, waiting);
    return measureCpu(CALLS, call => {
        const place = `measured-${call}`;
        state = send(state, { kind: "ask", waiting: createWaiting(place, "hot") });
        state = send(state, { kind: "placeEnd", place: brandId<PlaceId>(place), use: "finished" });
    });
}

function prepare(places: number, waiting: number): EngineState {
    let state = createEngineState(brandId<EngineId>("engine-1"), LIMITS);
    state = send(state, { kind: "acquired", fence: 1, former: "none", hosts: [], leaseMs: 0 });
    state = send(state, { kind: "ask", waiting: createWaiting("first", "hot") }, 1);
    const loading = state.instances[0];
    if (loading === undefined) {
        throw new Error("the first request started no load");
    }
    state = send(state, { kind: "loadAnswered", instance: loading.instance, result: { kind: "done" } });
    for (let at = 0; at < places; at += 1) {
        state = send(state, { kind: "ask", waiting: createWaiting(`held-${at}`, "hot") });
    }
    for (let at = 0; at < waiting; at += 1) {
        state = send(state, { kind: "ask", waiting: createWaiting(`queued-${at}`, `cold-${at}`) });
    }
    return state;
}

function send(state: EngineState, message: EngineMessage, loadsAllowed = 0): EngineState {
    return reduceEngine(state, message, { nowMs: 1, loadsAllowed }).state;
}

function createWaiting(place: string, adapter: string): Waiting {
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
        deadlineMs: FAR_DEADLINE_MS,
    };
}
