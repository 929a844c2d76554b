import { ServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { createId, sleep } from "@fulmarcleat/ids";
import type {
    CallerName,
    Clock,
    EngineId,
    HostId,
    Incarnation,
    InstanceName,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import type { EngineCandidate, PolicyDecisions } from "@fulmarcleat/placement";
import type { Priority } from "@fulmarcleat/resources";
import type {
    PlaceEnd,
    PlaceOutcome,
    PlaceReply,
    PlaceRequest,
    PlacesHeldReply,
    PlacesHeldRequest,
} from "@fulmarcleat/wire";
import type { ConfiguredEngine, OfferedVersion } from "./buildOfferIndex.js";
import { createIdlePlacePool } from "./createIdlePlacePool.js";

/** A place held by this host: a slot in an engine's batch, granted by the engine's owner. */
export interface HeldPlace {
    readonly place: PlaceId;
    readonly engine: EngineId;
    readonly instance: InstanceName;
    /** Fencing token of the owner that granted the place. */
    readonly fence: number;
    /** Deadline for starting a request on the place, in milliseconds of the host's clock. */
    readonly startByMs: number;
    /** Key shared by all requests that may reuse the place: adapter, version and priority class. */
    readonly reuseKey: string;
    /** How long the place may stay idle after its request, in milliseconds; 0 if it can't be reused. */
    readonly reuseMs: number;
    /** How long the request waited for its adapter to load, in milliseconds. */
    readonly loadStallMs: number;
}

/** Requirements of one request for a place. */
export interface PlaceRequirements {
    readonly requestId: RequestId;
    readonly caller: CallerName;
    readonly offered: OfferedVersion;
    readonly priority: Priority;
    /** When the request must end, in milliseconds of the host's clock. */
    readonly deadlineMs: number;
    /** Engines on which the request failed before; they are chosen last. */
    readonly avoid: readonly EngineId[];
}

/** Options of the place router. */
export interface PlaceRouterOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly listEngines: (offered: OfferedVersion) => readonly ConfiguredEngine[];
    /** Returns the owner of an engine from local state; undefined if it is unknown. */
    readonly findOwner: (engine: EngineId) => HostId | undefined;
    /** Reads the owner of an engine from the key-value service; undefined if it has none. */
    readonly lookUpOwner: (engine: EngineId) => Promise<HostId | undefined>;
    readonly decisions: PolicyDecisions;
    /** Sends a place request to an engine's owner. */
    readonly requestPlace: (owner: HostId, request: PlaceRequest) => Promise<PlaceReply>;
    /** Reports to an engine's owner that places are no longer used. */
    readonly endPlaces: (owner: HostId, end: PlaceEnd) => Promise<void>;
}

/** Acquires places for requests and releases them. */
export interface PlaceRouter {
    /** Waits for a place until the request's deadline; throws ServeError with outcome `not_run`. */
    acquire(requirements: PlaceRequirements): Promise<HeldPlace>;
    /** Ends the use of a place; a place that may be reused stays idle for a while first. */
    release(held: HeldPlace, outcome: PlaceOutcome): void;
    /** Whether the place may still start a request; call it immediately before sending. */
    mayStart(held: HeldPlace): boolean;
    /** Lists the places held on an engine; from then on, grants with a lower fencing token are rejected. */
    describeHeld(request: PlacesHeldRequest): PlacesHeldReply;
    /** Releases all idle places at once. */
    releaseIdle(): void;
    /** Number of places held, idle ones included. */
    readonly heldCount: number;
}

/** Replicas of an adapter version that an engine's owner reported with a grant. */
interface ReplicaHint {
    readonly engines: readonly EngineId[];
    readonly untilMs: number;
}

/** How long a replica hint from an owner is used, in milliseconds. */
const REPLICA_HINT_TTL_MS = 5000;
/** Delay before the next attempt while no owner grants a place, in milliseconds. */
const NO_OWNER_RETRY_MS = 100;
/** How long a request waits for an engine to get an owner before other engines are tried, in milliseconds. */
const OWNER_WAIT_MS = 2000;
/** Interval between two look-ups of an engine's owner, in milliseconds. */
const OWNER_POLL_MS = 20;
/** Delay added after each failed attempt to report the end of a place, in milliseconds. */
const PLACE_END_RETRY_MS = 500;
/** Attempts to report the end of a place; owners also query the held places, so a lost report is corrected. */
const MAX_PLACE_END_ATTEMPTS = 5;
const ERROR_DETAILS = { step: "find place", outcome: "not_run" } as const;

/**
 * Creates the router that requests places from the owners of engines and reuses idle ones.
 *
 * @param options - Engine list, owner look-up and the functions that send to owners
 * @returns a router without held places
 *
 * @example
 * const held = await createPlaceRouter(options).acquire(requirements);
 */
export function createPlaceRouter(options: PlaceRouterOptions): PlaceRouter {
    const { clock, hash } = options;
    const heldPlaces = new Map<PlaceId, HeldPlace>();
    const replicaHints = new Map<string, ReplicaHint>();
    const outstandingCounts = new Map<EngineId, number>();
    const highestFences = new Map<EngineId, number>();
    const pendingPlaces = new Map<PlaceId, EngineId>();
    const runCounts = new Map<PlaceId, number>();

    const chooseEngine = (requirements: PlaceRequirements, triedEngines: readonly EngineId[]): EngineId | undefined => {
        const configured = options.listEngines(requirements.offered).filter(entry => !entry.draining);
        const model = `${requirements.offered.adapter}@${requirements.offered.version}`;
        const ranked = rankByRendezvous(hash, model, configured.map(entry => entry.engine));
        const hint = replicaHints.get(model);
        const replicas = hint !== undefined && hint.untilMs > clock.nowMs() ? hint.engines : ranked.slice(0, 1);
        const domains = new Map(configured.map(entry => [entry.engine, entry.failureDomain]));
        const failedDomains = new Set(requirements.avoid.map(engine => domains.get(engine)));
        const candidates = ranked.filter(engine => !triedEngines.includes(engine)).map((engine): EngineCandidate => ({
            engine,
            outstanding: outstandingCounts.get(engine) ?? 0,
            isReplica: replicas.includes(engine),
            isAvoided: requirements.avoid.includes(engine),
            isFailedDomain: failedDomains.has(domains.get(engine)),
        }));
        return options.decisions.chooseEngine(candidates);
    };
    const sendPlaceEnd = async (engine: EngineId, place: PlaceId, outcome: PlaceOutcome): Promise<void> => {
        const end = { place, use: outcome, runs: runCounts.get(place) ?? 1 };
        runCounts.delete(place);
        for (let attempt = 1; attempt <= MAX_PLACE_END_ATTEMPTS; attempt += 1) {
            const owner = options.findOwner(engine);
            const isDone = owner !== undefined
                && await options.endPlaces(owner, { engine, ends: [end] }).then(() => true, () => false);
            if (isDone) {
                return;
            }
            options.metrics.count("place_end_failures_total");
            await sleep(clock, PLACE_END_RETRY_MS * attempt);
        }
    };
    const releaseHeld = (place: HeldPlace, outcome: PlaceOutcome): void => {
        if (heldPlaces.delete(place.place)) {
            void sendPlaceEnd(place.engine, place.place, outcome);
        }
    };
    const idlePlaces = createIdlePlacePool(clock, place => releaseHeld(place, "finished"));
    const mayStart = (place: HeldPlace): boolean =>
        clock.nowMs() < place.startByMs && place.fence >= (highestFences.get(place.engine) ?? 0);
    const acquireIdle = (requirements: PlaceRequirements): HeldPlace | undefined => {
        const usable = options.listEngines(requirements.offered).filter(entry => !entry.draining).map(entry =>
            entry.engine
        );
        const place = idlePlaces.acquire(
            formatReuseKey(requirements),
            candidate =>
                mayStart(candidate) && usable.includes(candidate.engine)
                && !requirements.avoid.includes(candidate.engine),
        );
        if (place === undefined) {
            return undefined;
        }
        runCounts.set(place.place, (runCounts.get(place.place) ?? 1) + 1);
        outstandingCounts.set(place.engine, (outstandingCounts.get(place.engine) ?? 0) + 1);
        options.metrics.count("places_reused_total");
        return { ...place, loadStallMs: 0 };
    };
    const waitForOwner = async (engine: EngineId, untilMs: number): Promise<HostId | undefined> => {
        for (;;) {
            const owner = options.findOwner(engine) ?? await options.lookUpOwner(engine);
            if (owner !== undefined || clock.nowMs() >= untilMs) {
                return owner;
            }
            await sleep(clock, OWNER_POLL_MS);
        }
    };
    const requestPlace = async (
        requirements: PlaceRequirements,
        engine: EngineId,
        owner: HostId,
    ): Promise<{ reply: PlaceReply; place: PlaceId; requestedMs: number }> => {
        const place = createId<PlaceId>();
        const requestedMs = clock.nowMs();
        const { requestId, caller, priority, offered, deadlineMs } = requirements;
        const { adapter, version, weights } = offered;
        const waitMs = Math.max(0, deadlineMs - requestedMs);
        const request: PlaceRequest = {
            place,
            requestId,
            engine,
            adapter,
            version,
            weights,
            caller,
            priority,
            waitMs,
            host: options.host,
            incarnation: options.incarnation,
        };
        pendingPlaces.set(place, engine);
        try {
            return { reply: await options.requestPlace(owner, request), place, requestedMs };
        }
        catch (err) {
            void sendPlaceEnd(engine, place, "unused");
            throw err;
        }
        finally {
            pendingPlaces.delete(place);
        }
    };
    const acceptGrant = (
        requirements: PlaceRequirements,
        engine: EngineId,
        granted: Extract<PlaceReply, { kind: "granted" }>,
        requestedMs: number,
    ): HeldPlace | undefined => {
        if (granted.fence < (highestFences.get(engine) ?? 0)) {
            return undefined;
        }
        const model = `${requirements.offered.adapter}@${requirements.offered.version}`;
        replicaHints.set(model, { engines: granted.replicas, untilMs: clock.nowMs() + REPLICA_HINT_TTL_MS });
        const place: HeldPlace = {
            place: granted.place,
            engine,
            instance: granted.instance,
            fence: granted.fence,
            startByMs: requestedMs + granted.waitedMs + granted.startWithinMs,
            reuseKey: formatReuseKey(requirements),
            reuseMs: granted.reuseMs,
            loadStallMs: granted.loadStallMs,
        };
        heldPlaces.set(place.place, place);
        outstandingCounts.set(engine, (outstandingCounts.get(engine) ?? 0) + 1);
        return place;
    };
    const rejectStaleGrant = (engine: EngineId, place: PlaceId): "retry" => {
        options.metrics.count("retries_total", { reason: "old_fence" });
        void sendPlaceEnd(engine, place, "unused");
        return "retry";
    };
    const tryEngine = async (
        requirements: PlaceRequirements,
        engine: EngineId,
        ownerDeadlineMs: number,
    ): Promise<HeldPlace | "retry" | "moved" | ServeError> => {
        const owner = await waitForOwner(engine, ownerDeadlineMs);
        if (owner === undefined) {
            return "retry";
        }
        try {
            const { reply, requestedMs } = await requestPlace(requirements, engine, owner);
            switch (reply.kind) {
                case "granted":
                    return acceptGrant(requirements, engine, reply, requestedMs)
                        ?? rejectStaleGrant(engine, reply.place);
                case "refused":
                    if (reply.code === "no_owner" && clock.nowMs() < ownerDeadlineMs) {
                        return "moved";
                    }
                    return new ServeError(reply.message, {
                        ...ERROR_DETAILS,
                        code: reply.code,
                        peer: engine,
                        retryAfterMs: reply.retryAfterMs,
                    });
                case "not_owner":
                    return clock.nowMs() < ownerDeadlineMs ? "moved" : "retry";
            }
        }
        catch (cause) {
            return new ServeError("the engine's owner did not reply", {
                ...ERROR_DETAILS,
                code: "peer_failed",
                peer: owner,
                cause,
            });
        }
    };
    return {
        async acquire(requirements) {
            const idlePlace = acquireIdle(requirements);
            if (idlePlace !== undefined) {
                return idlePlace;
            }
            let triedEngines: readonly EngineId[] = [];
            const ownerDeadlineMs = Math.min(requirements.deadlineMs, clock.nowMs() + OWNER_WAIT_MS);
            let lastError: ServeError | undefined;
            while (clock.nowMs() < requirements.deadlineMs) {
                const engine = chooseEngine(requirements, triedEngines);
                if (engine === undefined) {
                    if (triedEngines.length === 0) {
                        throw new ServeError("no active engine is configured for this adapter's base model", {
                            ...ERROR_DETAILS,
                            code: "no_upstream",
                            peer: "self",
                            retryAfterMs: 1000,
                        });
                    }
                    if (lastError !== undefined && !isNoOwnerError(lastError)) {
                        throw lastError;
                    }
                    triedEngines = [];
                    await sleep(clock, NO_OWNER_RETRY_MS);
                    continue;
                }
                const result = await tryEngine(requirements, engine, ownerDeadlineMs);
                if (result === "moved") {
                    await sleep(clock, NO_OWNER_RETRY_MS);
                    continue;
                }
                triedEngines = [...triedEngines, engine];
                if (result === "retry") {
                    continue;
                }
                if (!(result instanceof ServeError)) {
                    return result;
                }
                lastError = result;
                if (isFinalError(result)) {
                    throw result;
                }
                options.metrics.count("retries_total", { reason: result.code });
            }
            throw lastError ?? createNoOwnerError();
        },
        release(place, outcome) {
            if (!heldPlaces.has(place.place)) {
                return;
            }
            outstandingCounts.set(place.engine, Math.max(0, (outstandingCounts.get(place.engine) ?? 0) - 1));
            if (outcome === "finished" && place.reuseMs > 0 && mayStart(place)) {
                idlePlaces.add(place.reuseKey, place, place.reuseMs);
                return;
            }
            releaseHeld(place, outcome);
        },
        mayStart,
        releaseIdle: () => idlePlaces.releaseAll(),
        describeHeld(request) {
            highestFences.set(request.engine, Math.max(request.fence, highestFences.get(request.engine) ?? 0));
            const places = [...heldPlaces.values()].filter(place => place.engine === request.engine);
            return {
                incarnation: options.incarnation,
                places: places.map(({ place, instance }) => ({ place, instance })),
                pending: [...pendingPlaces].filter(([, engine]) => engine === request.engine).map(([place]) => place),
            };
        },
        get heldCount() {
            return heldPlaces.size;
        },
    };
}

function formatReuseKey({ offered, priority }: PlaceRequirements): string {
    return `${offered.adapter}@${offered.version} ${priority}`;
}

function createNoOwnerError(): ServeError {
    return new ServeError("no engine that serves this adapter has a reachable owner", {
        ...ERROR_DETAILS,
        code: "no_owner",
        peer: "self",
        retryAfterMs: 1000,
    });
}

function isNoOwnerError(err: ServeError): boolean {
    return err.code === "no_owner" || err.code === "peer_failed";
}

function isFinalError(err: ServeError): boolean {
    return err.code === "caller_limit" || err.code === "deadline_passed" || err.code === "deadline_unreachable";
}
