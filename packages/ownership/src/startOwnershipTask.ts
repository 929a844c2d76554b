import type { EngineDriver } from "@fulmarcleat/drivers";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { sleep } from "@fulmarcleat/ids";
import type { CallerName, CancelTimer, Clock, EngineId, FailureDomain, HostId, Incarnation } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import type { PolicyDecisions, PopularityTable } from "@fulmarcleat/placement";
import type { Decision, PlaceRequest, PlacesHeldReply, PlacesHeldRequest } from "@fulmarcleat/wire";
import { chooseHandover } from "./chooseHandover.js";
import { createOwnerRecords } from "./createOwnerRecords.js";
import { decideClaim } from "./decideClaim.js";
import type { EngineLimits, FormerOwnerState } from "./engineState.js";
import { listHostsToAsk } from "./listHostsToAsk.js";
import type { LoadBudgetTask } from "./loadBudgetTask.js";
import type { OwnerRecord } from "./ownerRecord.js";
import { startEngineTask } from "./startEngineTask.js";
import type { EngineTask } from "./startEngineTask.js";

/** An engine that this host may own. */
export interface OwnableEngine {
    readonly engine: EngineId;
    readonly failureDomain: FailureDomain;
    readonly limits: EngineLimits;
    readonly driver: EngineDriver;
}

/** A host that may own engines. */
export interface OwnerHost {
    readonly host: HostId;
    readonly failureDomain: FailureDomain;
    readonly incarnation: Incarnation | undefined;
}

/** Dependencies and settings of the task that claims engines. */
export interface OwnershipTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly budget: LoadBudgetTask;
    /** Delay between two rounds over the engines, in milliseconds. */
    readonly claimMs: number;
    /** Delay between two requests for an engine's report, in milliseconds. */
    readonly reportMs: number;
    /** Longest wait for an engine's answer to an order, in milliseconds. */
    readonly orderMs: number;
    /** Length of the session lease, in milliseconds. */
    readonly leaseMs: number;
    /** Lists the engines that this host may own. */
    readonly listEngines: () => readonly OwnableEngine[];
    /** Lists the live hosts that may own engines. */
    readonly listHosts: () => readonly OwnerHost[];
    /** Lists every host that may hold places, including unresponsive and leaving ones. */
    readonly listHolders: () => readonly HostId[];
    /** Finds the live host that announces itself as an engine's owner. */
    readonly findAnnouncedOwner: (engine: EngineId) => HostId | undefined;
    /** Whether this host may act as an owner, from the state of its session lease. */
    readonly isSessionTrusted: () => boolean;
    /** When the current session lease was granted, in milliseconds. */
    readonly sessionOpenedMs: () => number;
    /** Requests a host's report of the places that it holds on an engine. */
    readonly requestHeldPlaces: (host: HostId, request: PlacesHeldRequest) => Promise<PlacesHeldReply>;
    /** The policy's decisions; the built-in decisions if undefined. */
    readonly decisions?: PolicyDecisions;
    /** Request rates of the adapter versions, over all engines of this host. */
    readonly popularity: PopularityTable;
    /** Returns a caller's weight in the sharing of places. */
    readonly readWeight: (caller: CallerName) => number;
    /** Chooses the engines that serve an adapter at a given request rate. */
    readonly chooseReplicas: (request: PlaceRequest, ratePerSecond: number) => readonly EngineId[];
    readonly recordDecision: (decision: Omit<Decision, "host" | "atMs">) => void;
}

/** The task that claims engines and runs one task for each. */
export interface OwnershipTask {
    /** Finds the task of an engine, even if another host owns the engine now. */
    find(engine: EngineId): EngineTask | undefined;
    /** Tasks of the engines that this host owns. */
    readonly owned: readonly EngineTask[];
    /** Looks up an engine's owner in the key-value service; results are cached for a short time. */
    lookUpOwner(engine: EngineId): Promise<HostId | undefined>;
    /** Handles the replacement of a host's process; `replaced` is the incarnation that no longer runs. */
    handleHostReplacement(host: HostId, replaced: Incarnation): void;
    /** Handles a fence that another host has observed; one above this host's fence means that it lost the engine. */
    observeFence(engine: EngineId, fence: number): void;
    /** Releases every engine before a graceful stop. */
    release(): Promise<void>;
    /** Stops the rounds and the tasks of all engines, without releasing them. */
    stop(): void;
}

/** State of this host's claim to one engine. */
interface ClaimState {
    /** When the owner record was last read, in milliseconds. */
    readMs: number;
    /** When the last read that found this host as the owner was sent, in milliseconds. */
    confirmedMs: number;
    preferred: HostId | undefined;
    preferredSinceMs: number;
    /** Highest fence that this host has acquired. */
    acquiredFence: number;
    /** When each host was last queried for its held places, in milliseconds. */
    readonly lastQueriedMs: Map<HostId, number>;
}

/** Delay before the record of an engine that has a known owner is read again, in milliseconds. */
const OWNER_RECHECK_MS = 10_000;

/**
 * Starts the task that claims engines through the key-value service.
 *
 * @param options - Client of the key-value service, hosts, engines and policy
 * @returns the task
 *
 * @example
 * const ownership = startOwnershipTask(options);
 */
export function startOwnershipTask(options: OwnershipTaskOptions): OwnershipTask {
    const { clock, host, incarnation, log } = options;
    const records = createOwnerRecords(options);
    const tasks = new Map<EngineId, EngineTask>();
    const releases = new Set<Promise<void>>();
    const claimStates = new Map<EngineId, ClaimState>();
    let isStopped = false;
    let isReleasing = false;
    let lastHandoverMs = clock.nowMs();
    let cancel: CancelTimer = () => undefined;

    const getClaimState = (engine: EngineId): ClaimState => {
        const existing = claimStates.get(engine);
        const claimState = existing ?? createClaimState();
        claimStates.set(engine, claimState);
        return claimState;
    };
    const releaseRecord = (engine: EngineId, fence: number, holders: readonly HostId[]): void => {
        const write = records.release(engine, fence, holders)
            .catch(() => options.metrics.count("release_failures_total"))
            .finally(() => releases.delete(write));
        releases.add(write);
    };
    const ensureTask = (entry: OwnableEngine): EngineTask => {
        const existing = tasks.get(entry.engine);
        if (existing !== undefined) {
            return existing;
        }
        const created = startEngineTask({
            ...options,
            engine: entry.engine,
            driver: entry.driver,
            limits: entry.limits,
            onReleased: (fence, holders) => releaseRecord(entry.engine, fence, holders),
            isSuspended: () =>
                !options.isSessionTrusted() || getClaimState(entry.engine).confirmedMs < options.sessionOpenedMs(),
        });
        tasks.set(entry.engine, created);
        return created;
    };
    const isReadDue = (entry: OwnableEngine, claimState: ClaimState): boolean => {
        const sinceMs = clock.nowMs() - claimState.readMs;
        if (tasks.get(entry.engine)?.state.phase === "owned") {
            return sinceMs >= OWNER_RECHECK_MS || claimState.confirmedMs < options.sessionOpenedMs();
        }
        const announced = options.findAnnouncedOwner(entry.engine);
        const isOwnedElsewhere = announced !== undefined && announced !== host;
        return claimState.preferred === host && (!isOwnedElsewhere || sinceMs >= OWNER_RECHECK_MS);
    };
    const reviewEngine = async (entry: OwnableEngine): Promise<void> => {
        const claimState = getClaimState(entry.engine);
        const task = tasks.get(entry.engine);
        task?.send({ kind: "limits", limits: entry.limits });
        updatePreferred(claimState, findPreferred(entry, options), clock.nowMs());
        if (!options.isSessionTrusted() || task?.state.phase === "releasing" || !isReadDue(entry, claimState)) {
            return;
        }
        const sentMs = clock.nowMs();
        const { record, revision } = await records.read(entry.engine);
        claimState.readMs = sentMs;
        const isOwn = record?.host === host && record.incarnation === incarnation && !record.released;
        if (task?.state.phase === "owned" && (!isOwn || record.fence !== task.state.fence)) {
            log.write("warn", 302, { engine: entry.engine });
            task.send({ kind: "lost" });
        }
        if (isOwn) {
            claimState.confirmedMs = sentMs;
        }
        const ownerSession = record === undefined || record.released
            ? undefined
            : await records.readSession(record.host);
        const isPreferred = claimState.preferred === host;
        const decision = decideClaim({ self: host, incarnation, record, ownerSession, isPreferred });
        if (decision.kind === "claim" && await records.claim(entry.engine, revision, decision.fence)) {
            acquire(entry, decision.fence, { former: decision.former, record });
        }
        if (decision.kind === "own" && tasks.get(entry.engine)?.state.phase !== "owned") {
            await resume(entry, decision.fence, revision);
        }
    };
    /** Resumes ownership of an engine whose claim was applied without a reply, or that this host gave up by mistake. */
    const resume = async (entry: OwnableEngine, fence: number, revision: number): Promise<void> => {
        const isNew = getClaimState(entry.engine).acquiredFence < fence;
        if (isNew || await records.claim(entry.engine, revision, fence + 1)) {
            acquire(entry, isNew ? fence : fence + 1, { former: "lapsed", record: undefined });
        }
    };
    const acquire = (
        entry: OwnableEngine,
        fence: number,
        { former, record }: { readonly former: FormerOwnerState; readonly record: OwnerRecord | undefined },
    ): void => {
        const holders = new Set([...options.listHolders(), ...record?.holders ?? []]);
        if (record !== undefined && former === "lapsed") {
            holders.add(record.host);
        }
        const claimState = getClaimState(entry.engine);
        claimState.acquiredFence = fence;
        claimState.confirmedMs = clock.nowMs();
        claimState.lastQueriedMs.clear();
        const task = ensureTask(entry);
        task.send({
            kind: "acquired",
            fence,
            former,
            formerHost: record?.host,
            hosts: [...holders],
            leaseMs: options.leaseMs,
        });
        log.write("info", 300, { engine: entry.engine, fence, former });
        queryHolders(entry.engine, task);
    };
    const queryHolders = (engine: EngineId, task: EngineTask): void => {
        const { lastQueriedMs } = getClaimState(engine);
        for (const holder of listHostsToAsk(task.state, lastQueriedMs, clock.nowMs())) {
            lastQueriedMs.set(holder, clock.nowMs());
            void queryHeldPlaces(task, engine, holder);
        }
    };
    const queryHeldPlaces = async (task: EngineTask, engine: EngineId, holder: HostId): Promise<void> => {
        const askedMs = clock.nowMs();
        const { fence } = task.state;
        try {
            const held = await options.requestHeldPlaces(holder, { engine, fence, revoke: undefined });
            task.send({ kind: "held", host: holder, fence, askedMs, ...held });
        }
        catch {
            options.metrics.count("places_held_failures_total");
            reportFormerOwnerFailure(task, holder);
        }
    };
    /** Treats a former owner whose lease expired as failed once the platform no longer lists its host. */
    const reportFormerOwnerFailure = (task: EngineTask, holder: HostId): void => {
        if (task.state.takeover?.formerHost === holder && !options.listHolders().includes(holder)) {
            task.send({ kind: "formerGone" });
        }
    };
    const rebalance = (): void => {
        const isLeaving = options.listHosts().length > 0 && !options.listHosts().some(member => member.host === host);
        const owned = [...tasks.values()].filter(task => task.state.phase === "owned");
        if (isLeaving) {
            owned.forEach(task => task.send({ kind: "release" }));
            return;
        }
        const entries = owned.map(({ state }) => ({ engine: state.engine, ...getClaimState(state.engine) }));
        const chosen = chooseHandover(entries, { self: host, nowMs: clock.nowMs(), lastMs: lastHandoverMs });
        if (chosen !== undefined) {
            lastHandoverMs = clock.nowMs();
            tasks.get(chosen)?.send({ kind: "release" });
        }
    };
    const runRound = async (): Promise<void> => {
        for (const entry of options.listEngines()) {
            if (!isReleasing) {
                await reviewEngine(entry).catch(() => options.metrics.count("claim_failures_total"));
            }
        }
        tasks.forEach((task, engine) => queryHolders(engine, task));
        if (!isReleasing) {
            rebalance();
        }
        if (!isStopped) {
            cancel = clock.setTimer(options.claimMs, () => void runRound());
        }
    };
    void runRound();
    return {
        find: engine => tasks.get(engine),
        get owned() {
            return [...tasks.values()].filter(task => task.state.phase === "owned");
        },
        lookUpOwner: records.lookUpOwner,
        handleHostReplacement: (replacedHost, replaced) =>
            tasks.forEach(task => {
                task.send({ kind: "hostGone", host: replacedHost, incarnation: replaced });
                if (task.state.takeover?.formerHost === replacedHost) {
                    task.send({ kind: "formerGone" });
                }
            }),
        observeFence(engine, fence) {
            const task = tasks.get(engine);
            if (task !== undefined && task.state.phase !== "unowned" && fence > task.state.fence) {
                log.write("warn", 302, { engine });
                task.send({ kind: "lost" });
            }
        },
        async release() {
            isReleasing = true;
            tasks.forEach(task => task.send({ kind: "release" }));
            await Promise.all([...tasks.values()].map(task => waitUntilUnowned(task, options)));
            await Promise.all(releases);
        },
        stop() {
            isStopped = true;
            cancel();
            tasks.forEach(task => task.stop());
        },
    };
}

function createClaimState(): ClaimState {
    return {
        readMs: -OWNER_RECHECK_MS,
        confirmedMs: -1,
        preferred: undefined,
        preferredSinceMs: 0,
        acquiredFence: 0,
        lastQueriedMs: new Map(),
    };
}

function updatePreferred(claimState: ClaimState, preferred: HostId | undefined, nowMs: number): void {
    if (claimState.preferred !== preferred) {
        claimState.preferred = preferred;
        claimState.preferredSinceMs = nowMs;
    }
}

/** Interval at which the release of an engine is checked, in milliseconds. */
const RELEASE_POLL_MS = 20;

/** Waits until an engine is released, at most for the duration of two orders. */
async function waitUntilUnowned(task: EngineTask, { clock, orderMs }: OwnershipTaskOptions): Promise<void> {
    const untilMs = clock.nowMs() + 2 * orderMs;
    while (task.state.phase !== "unowned" && clock.nowMs() < untilMs) {
        await sleep(clock, RELEASE_POLL_MS);
    }
}

function findPreferred(entry: OwnableEngine, options: OwnershipTaskOptions): HostId | undefined {
    const hosts = options.listHosts();
    const inSameDomain = hosts.filter(candidate => candidate.failureDomain === entry.failureDomain);
    const candidates = (inSameDomain.length > 0 ? inSameDomain : hosts).map(member => member.host);
    return rankByRendezvous(options.hash, entry.engine, candidates)[0];
}
