import type { RouteKind, Service } from "@fulmarcleat/directory";
import type { EngineId, HostId, ManualClock, RequestId, ServiceName } from "@fulmarcleat/ids";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { PerformanceTracker } from "./performance/createPerformanceTracker.js";

/** Size, seed and faults of a fleet in memory. */
export interface FrontFleetOptions {
    readonly hosts: number;
    readonly seed: number;
    /** Share of the messages between hosts that are lost. */
    readonly lostShare: number;
    /** Longest delay of a message between hosts, in milliseconds. */
    readonly maxDelayMs: number;
    /** Whether engines start again under their former ids, so that hosts know them without the store. */
    readonly keepsIds: boolean;
    /** Interval at which one engine crashes for a reason of its own, in milliseconds; undefined for never. */
    readonly crashIntervalMs: number | undefined;
    /** Requests a second over all hosts; 25 if it is left out. */
    readonly requestsPerS?: number;
    /** Requests of a plain service that crash engines; if it is left out, requests are streams of a model service. */
    readonly plain?: {
        /** Number of different requests that crash each engine that runs them. */
        readonly poisonKinds: number;
    };
    /**
     * Whether the fleet has two services, one with a model that gets requests for streams, and a plain one of whose
     * requests half may run once only; if it is left out, it has one service.
     */
    readonly hasTwoServices?: boolean;
    /** Number of failure domains that hosts and engines are in, in turn, at most 4; 1 if it is left out. */
    readonly domains?: number;
    /** How many requests that crash engines come at the same moment, at any hosts; 1 if it is left out. */
    readonly copies?: number;
    /** How long work takes on the engines, as their load headers state it, in percent; if left out, they don't state it. */
    readonly workPercent?: number;
}

/** The rate of requests that some engines name in their answers. */
export interface FleetLimit {
    /** Number of engines that name it. */
    readonly engines: number;
    readonly perSecond: number;
}

/**
 * How paths from hosts to engines are cut.
 *
 * - `hang`: nothing comes back over kept connections, and new ones get no answer
 * - `reset`: exchanges in flight break, and new connections are refused
 * - `new refused`: kept connections live on, which half of the requests use, and new ones are refused
 */
export type CutKind = "hang" | "new refused" | "reset";

/** Hosts without paths to the engines of a service. */
export interface FleetCut {
    readonly hosts: readonly HostId[];
    readonly how: CutKind;
    /** The service whose engines they don't reach; undefined for all services. */
    readonly service: ServiceName | undefined;
}

/** A request that one host hands to another. */
export interface FleetHandover {
    readonly from: HostId;
    readonly to: HostId;
    readonly requestId: RequestId;
    readonly service: ServiceName;
    readonly atMs: number;
}

/** A request's arrival at an engine. */
export interface FleetArrival {
    readonly engine: EngineId;
    /** The host that sent it. */
    readonly host: HostId;
    readonly atMs: number;
    /** Clock reading when its client sent it, in milliseconds. */
    readonly sentMs: number;
}

/** What engines say in their answers of further work. */
export type FleetNotice =
    /** They leave; the store goes on listing them as ready. */
    | { readonly kind: "leaving" }
    /** They turn requests away until a clock reading, in milliseconds, and name the time that is left. */
    | { readonly kind: "pausing"; readonly untilMs: number };

/** An answer with which an engine told a host of further work. */
export interface FleetWord {
    readonly engine: EngineId;
    readonly host: HostId;
    readonly atMs: number;
    readonly notice: FleetNotice;
}

/** An engine's crash under a request. */
export interface FleetCrash {
    readonly name: string;
    readonly atMs: number;
}

/** One request of the run and what became of it. */
export interface FleetRequest {
    /** The same for requests with the same content. */
    readonly name: string;
    readonly isPoison: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly service: Service;
    readonly kind: RouteKind;
    /** The host that it came to; undefined if there was none. */
    readonly host: HostId | undefined;
    readonly sentMs: number;
    /** Clock readings at which it reached an engine, in milliseconds. */
    readonly reachedMs: readonly number[];
    /** The hosts that sent it there each time. */
    readonly sentBy: readonly HostId[];
    /** Whether an engine began to answer it. */
    readonly hasBegun: boolean;
    /** Whether its host sent the whole answer; clients don't send a request again. */
    readonly isAnswered: boolean;
    /** Reason of the host's refusal; undefined if it was not refused. */
    readonly refusal: string | undefined;
    /** Expected time until the request could be served, as the host that refused it states it, in milliseconds. */
    readonly readyInMs: number | undefined;
    /** Time until the host ended it, in milliseconds; undefined while it is in flight. */
    readonly heldMs: number | undefined;
}

/** Hosts and engines in memory; requests with one part in their prompts crash engines, and engines may name limits. */
export interface FrontFleet {
    readonly clock: ManualClock;
    readonly store: StoreFake;
    readonly requests: readonly FleetRequest[];
    /** Clock readings of the engines' crashes under such requests, in milliseconds. */
    readonly poisonCrashesMs: readonly number[];
    readonly poisonCrashes: readonly FleetCrash[];
    /** Sends requests for a time; `poisonShare` of them crash engines. */
    play(lengthMs: number, poisonShare: number): Promise<void>;
    /** Lets a time pass without requests. */
    wait(lengthMs: number): Promise<void>;
    /** Sets whether requests with the part crash engines. */
    setPoisonous(isPoisonous: boolean): void;
    readonly arrivals: readonly FleetArrival[];
    readonly engineIds: readonly EngineId[];
    /** Sets the limit that the first engines name in their answers from now on; undefined for none. */
    setLimit(limit: FleetLimit | undefined): void;
    /** Sets what engines say in their answers of further work from now on; undefined for nothing. */
    setNotice(engines: readonly EngineId[], notice: FleetNotice | undefined): void;
    /** The answers with which engines told hosts of further work. */
    readonly words: readonly FleetWord[];
    /** Stops a host: it answers no message, gets no request, and its entry is removed some seconds later. */
    stopHost(host: HostId): void;
    readonly hosts: readonly HostId[];
    /** Crashes every engine at once, as a loss of power does. */
    crashAll(): void;
    /** Stops the engines of a service for good: they refuse connections, and their entries are removed later. */
    stopEngines(service: ServiceName): void;
    /** Cuts paths from hosts to engines, until `healHosts`; messages between hosts, the store and clients go on. */
    cutHosts(cut: FleetCut): void;
    healHosts(): void;
    readonly handovers: readonly FleetHandover[];
    /** Returns the failure domain that a host is in. */
    readDomain(host: HostId): string;
    /** What each host has learned of the speed of engines. */
    readonly performances: ReadonlyMap<HostId, PerformanceTracker>;
    /** Adds a host that knows nothing. */
    addHost(): Promise<void>;
}
