import { ServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { createId } from "@fulmarcleat/ids";
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
import type { PlaceAsk, PlaceEnd, PlaceReply, PlacesHeldAsk, PlacesHeldReply, PlaceUse } from "@fulmarcleat/wire";
import type { ConfiguredEngine, OfferedVersion } from "./buildOfferIndex.js";

/** A place that this host holds. */
export interface HeldPlace {
    readonly place: PlaceId;
    readonly engine: EngineId;
    readonly instance: InstanceName;
    readonly fence: number;
    /** When the place may no longer be used to start a request, in milliseconds. */
    readonly startByMs: number;
    readonly loadStallMs: number;
}

/** What a request needs of an engine. */
export interface PlaceNeed {
    readonly requestId: RequestId;
    readonly caller: CallerName;
    readonly offered: OfferedVersion;
    readonly priority: Priority;
    readonly deadlineMs: number;
    /** Engines to use last. */
    readonly avoid: readonly EngineId[];
}

/** Settings of a router. */
export interface PlaceRouterOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly listEngines: (offered: OfferedVersion) => readonly ConfiguredEngine[];
    /** The host that owns an engine, as far as is known. */
    readonly findOwner: (engine: EngineId) => HostId | undefined;
    readonly decisions: PolicyDecisions;
    readonly ask: (owner: HostId, ask: PlaceAsk) => Promise<PlaceReply>;
    readonly end: (owner: HostId, end: PlaceEnd) => Promise<void>;
}

/** Finds places for requests and gives them back. */
export interface PlaceRouter {
    /** Waits for a place; throws ServeError with outcome `not_run`. */
    acquire(need: PlaceNeed): Promise<HeldPlace>;
    release(held: HeldPlace, use: PlaceUse): void;
    /** Whether the place may still start a request; call it right before sending. */
    mayStart(held: HeldPlace): boolean;
    /** Says what is held on an engine; places of a lower fence are no longer taken. */
    describeHeld(ask: PlacesHeldAsk): PlacesHeldReply;
    readonly heldCount: number;
}

interface ReplicaHint {
    readonly engines: readonly EngineId[];
    readonly untilMs: number;
}

const HINT_MS = 5000;
const NO_OWNER_WAIT_MS = 100;
const DETAILS = { step: "find place", outcome: "not_run" } as const;

/**
 * Creates the router that asks engines' owners for places.
 *
 * @param options - Engines, owners and exchanges
 * @returns the router
 *
 * @example
 * const held = await router.acquire(need);
 */
export function createPlaceRouter(options: PlaceRouterOptions): PlaceRouter {
    const { clock, hash } = options;
    const held = new Map<PlaceId, HeldPlace>();
    const hints = new Map<string, ReplicaHint>();
    const outstanding = new Map<EngineId, number>();
    const fences = new Map<EngineId, number>();

    const chooseEngine = (need: PlaceNeed, tried: readonly EngineId[]): EngineId | undefined => {
        const entries = options.listEngines(need.offered).filter(entry => !entry.draining);
        const model = `${need.offered.adapter}@${need.offered.version}`;
        const ranked = rankByRendezvous(hash, model, entries.map(entry => entry.engine));
        const hint = hints.get(model);
        const replicas = hint !== undefined && hint.untilMs > clock.nowMs() ? hint.engines : ranked.slice(0, 1);
        const domains = new Map(entries.map(entry => [entry.engine, entry.failureDomain]));
        const failedDomains = new Set(need.avoid.map(engine => domains.get(engine)));
        const candidates = ranked.filter(engine => !tried.includes(engine)).map((engine): EngineCandidate => ({
            engine,
            outstanding: outstanding.get(engine) ?? 0,
            isReplica: replicas.includes(engine),
            isAvoided: need.avoid.includes(engine),
            isFailedDomain: failedDomains.has(domains.get(engine)),
        }));
        return options.decisions.chooseEngine(candidates);
    };
    const askOwner = async (
        need: PlaceNeed,
        engine: EngineId,
        owner: HostId,
    ): Promise<{ reply: PlaceReply; place: PlaceId; askedMs: number }> => {
        const place = createId<PlaceId>();
        const askedMs = clock.nowMs();
        const { requestId, caller, priority, offered, deadlineMs } = need;
        const { adapter, version, weights } = offered;
        const waitMs = Math.max(0, deadlineMs - askedMs);
        const ask: PlaceAsk = {
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
        try {
            return { reply: await options.ask(owner, ask), place, askedMs };
        }
        catch (err) {
            void options.end(owner, { engine, ends: [{ place, use: "unused" }] }).catch(() => undefined);
            throw err;
        }
    };
    const take = (
        need: PlaceNeed,
        engine: EngineId,
        granted: Extract<PlaceReply, { kind: "granted" }>,
        askedMs: number,
    ): HeldPlace | undefined => {
        if (granted.fence < (fences.get(engine) ?? 0)) {
            return undefined;
        }
        const model = `${need.offered.adapter}@${need.offered.version}`;
        hints.set(model, { engines: granted.replicas, untilMs: clock.nowMs() + HINT_MS });
        const place: HeldPlace = {
            place: granted.place,
            engine,
            instance: granted.instance,
            fence: granted.fence,
            startByMs: askedMs + granted.waitedMs + granted.startWithinMs,
            loadStallMs: granted.loadStallMs,
        };
        held.set(place.place, place);
        outstanding.set(engine, (outstanding.get(engine) ?? 0) + 1);
        return place;
    };
    const attempt = async (need: PlaceNeed, engine: EngineId): Promise<HeldPlace | "retry" | ServeError> => {
        const owner = options.findOwner(engine);
        if (owner === undefined) {
            return "retry";
        }
        try {
            const { reply, askedMs } = await askOwner(need, engine, owner);
            switch (reply.kind) {
                case "granted":
                    return take(need, engine, reply, askedMs) ?? "retry";
                case "refused":
                    return new ServeError(reply.message, {
                        ...DETAILS,
                        code: reply.code,
                        peer: engine,
                        retryAfterMs: reply.retryAfterMs,
                    });
                case "not_owner":
                    return "retry";
            }
        }
        catch (cause) {
            return new ServeError("the engine's owner did not answer", {
                ...DETAILS,
                code: "peer_failed",
                peer: owner,
                cause,
            });
        }
    };
    return {
        async acquire(need) {
            let tried: readonly EngineId[] = [];
            let last = new ServeError("no engine has an owner", {
                ...DETAILS,
                code: "no_owner",
                peer: "self",
                retryAfterMs: 1000,
            });
            while (clock.nowMs() < need.deadlineMs) {
                const engine = chooseEngine(need, tried);
                if (engine === undefined) {
                    if (tried.length === 0) {
                        throw new ServeError("no engine may take this work", {
                            ...DETAILS,
                            code: "no_upstream",
                            peer: "self",
                            retryAfterMs: 1000,
                        });
                    }
                    if (!isOwnerless(last)) {
                        throw last;
                    }
                    tried = [];
                    await pause(clock, NO_OWNER_WAIT_MS);
                    continue;
                }
                const result = await attempt(need, engine);
                tried = [...tried, engine];
                if (result === "retry") {
                    continue;
                }
                if (!(result instanceof ServeError)) {
                    return result;
                }
                last = result;
                if (isFinal(result)) {
                    throw result;
                }
                options.metrics.count("retries_total", { reason: result.code });
            }
            throw last;
        },
        release(place, use) {
            if (!held.delete(place.place)) {
                return;
            }
            outstanding.set(place.engine, Math.max(0, (outstanding.get(place.engine) ?? 0) - 1));
            const owner = options.findOwner(place.engine);
            if (owner !== undefined) {
                void options.end(owner, { engine: place.engine, ends: [{ place: place.place, use }] }).catch(() =>
                    options.metrics.count("place_end_failures_total")
                );
            }
        },
        mayStart: place => clock.nowMs() < place.startByMs && place.fence >= (fences.get(place.engine) ?? 0),
        describeHeld(ask) {
            fences.set(ask.engine, Math.max(ask.fence, fences.get(ask.engine) ?? 0));
            const places = [...held.values()].filter(place => place.engine === ask.engine);
            return { places: places.map(({ place, instance }) => ({ place, instance })) };
        },
        get heldCount() {
            return held.size;
        },
    };
}

function isOwnerless(err: ServeError): boolean {
    return err.code === "no_owner" || err.code === "peer_failed";
}

function isFinal(err: ServeError): boolean {
    return err.code === "caller_limit" || err.code === "deadline_passed" || err.code === "deadline_unreachable";
}

function pause(clock: Clock, ms: number): Promise<void> {
    return new Promise(resolve => clock.setTimer(ms, resolve));
}
