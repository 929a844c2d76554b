import type { EngineEntry, EngineSpec } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { repeat } from "@fulmarcleat/ids";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import {
    assignOwners,
    decideEngineClaim,
    DEFAULT_LOAD_MS,
    holdsOrderRight,
    rankSuccessors,
} from "@fulmarcleat/residency";
import type { OwnerClaim } from "@fulmarcleat/residency";
import type { OrderRightReply, OrderRightRequest, PeerClient } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import { createEngineClaims } from "./createEngineClaims.js";
import type { EngineClosures, WorkClosure } from "./createEngineClosures.js";
import { createOwnerTask } from "./createOwnerTask.js";
import type { OwnerTask } from "./createOwnerTask.js";
import type { EnginePaths } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import { createLoadTimes } from "./performance/createLoadTimes.js";
import type { LoadTimes } from "./performance/createLoadTimes.js";
import { runEach } from "./runEach.js";
import type { Session } from "./startSession.js";
import type { StoreHealth } from "./storeHealth.js";

/** The engines that this host owns. */
export interface Ownership {
    /** Returns the task of an engine that this host owns; undefined if it does not own the engine. */
    find(engine: EngineId): OwnerTask | undefined;
    /** Whether the engine rejected this host's fencing token, and the store does not show the new owner yet. */
    isFenced(engine: EngineId): boolean;
    /**
     * Returns the last owner of an engine that checks no fences if its claim has ended and it may still order; undefined
     * if there is none, or while it has not been asked.
     */
    findHolder(engine: EngineId): Member | undefined;
    /** Answers a host that asks whether this one may still order an engine; after "stopped" this host no longer does. */
    answerOrderRight(request: OrderRightRequest): Promise<OrderRightReply>;
    /** Releases every engine at a graceful stop. */
    release(): Promise<void>;
    /** Stops all tasks and claims without releasing the engines. */
    stop(): void;
}

/** An engine that this host owns. */
interface OwnedEngine {
    readonly task: OwnerTask;
    /** Start time that the engine reported when the task was created, in milliseconds; a restart creates a new task. */
    readonly bornMs: number | undefined;
    /** Resolves to whether no order of the tasks before this one can be carried out any more. */
    readonly formerSettled: Promise<boolean>;
}

/** The giving up of an engine because this host has lost its path to it; once begun it is carried through. */
interface Handover {
    /** Revision of the claim that is given up. */
    readonly revision: number;
    /** Resolves to whether no order of this host can be carried out any more, after the last one's reply or timeout. */
    readonly settled: Promise<boolean>;
    isWriting: boolean;
    /** Whether the store has answered that this host no longer holds the claim. */
    isDone: boolean;
}

/** Interval between two checks of ownership, in milliseconds. */
const RECONCILE_INTERVAL_MS = 200;
/** How long hosts wait for each other at a first start before engines are assigned to them, in milliseconds. */
const FIRST_START_WAIT_MS = 1500;

/**
 * Claims engines without an owner and runs the owner tasks of this host's engines.
 *
 * @param context - Store, clock, hash and log
 * @param health - Records whether the store answers
 * @param clusterView - Engines, live hosts and owner keys
 * @param session - Supplies this host's lease
 * @param paths - Tells to which engines this host has lost its path; it hands these over
 * @param closures - Says which engines get no orders
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param loadTimes - How long adapter loads take, shared with the other hosts' reports
 * @returns the engines that this host owns
 *
 * @example
 * const ownership = startOwnership(context, health, clusterView, session, paths, closures, () => peers);
 */
export function startOwnership(
    context: FrontContext,
    health: StoreHealth,
    clusterView: ClusterView,
    session: Session,
    paths: Pick<EnginePaths, "isPathLost">,
    closures: Pick<EngineClosures, "find">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    loadTimes: LoadTimes = createLoadTimes(context.clock, DEFAULT_LOAD_MS),
): Ownership {
    const { clock, deployment, hash, incarnation, log } = context;
    const claims = createEngineClaims(context, health, clusterView, session, readPeers);
    const owned = new Map<EngineId, OwnedEngine>();
    /** Engines that this host owned last, with the number of the list of keys since which it has seen all changes. */
    const formerlyOwned = new Map<EngineId, number>();
    /** Clock reading when the last order of this process to an engine ended, in milliseconds. */
    const lastOrders = new Map<EngineId, number>();
    const rejectedFences = new Map<EngineId, number>();
    const handovers = new Map<EngineId, Handover>();
    const lastHandoverMs = new Map<EngineId, number>();
    const startedMs = clock.nowMs();
    let isStopped = false;
    let assignment: { readonly key: string; readonly owners: ReturnType<typeof assignOwners> } | undefined;

    const findSpec = (entry: EngineEntry): EngineSpec | undefined =>
        clusterView.config?.services.get(entry.service)?.engine;
    const stopOwning = (engine: EngineId, reason: string): void => {
        const existing = owned.get(engine);
        if (existing !== undefined) {
            existing.task.stop();
            owned.delete(engine);
            recordLastOrder(engine, existing.task);
            log.write("info", 302, { engine, reason });
        }
    };
    /** Keeps when the last order of a stopped task ended: with its reply or its timeout. */
    const recordLastOrder = (engine: EngineId, task: OwnerTask): void => {
        if (task.hasOrdered) {
            lastOrders.set(engine, clock.nowMs());
            void task.settle().then(() => lastOrders.set(engine, clock.nowMs()));
        }
    };
    const settle = async ({ task, formerSettled }: OwnedEngine): Promise<boolean> => {
        const [isSettled, isFormerSettled] = await Promise.all([task.settle(), formerSettled]);
        return isSettled && isFormerSettled;
    };
    const startOwning = (entry: EngineEntry, spec: EngineSpec, fence: number): void => {
        const existing = owned.get(entry.id);
        if (existing?.task.fence === fence && existing.bornMs === entry.bornMs) {
            return;
        }
        if (existing !== undefined) {
            existing.task.stop();
            recordLastOrder(entry.id, existing.task);
        }
        const formerSettled = existing === undefined ? Promise.resolve(true) : settle(existing);
        const model = spec.models[0]?.name;
        if (model === undefined || rejectedFences.get(entry.id) === fence) {
            return;
        }
        const isWaiting = claims.read(entry.id)?.waitsFor !== undefined;
        if (isWaiting) {
            formerlyOwned.delete(entry.id);
        }
        else {
            formerlyOwned.set(entry.id, clusterView.hostKeyLists);
        }
        const mayOrder = (): boolean =>
            hasOrderRight() && claims.read(entry.id)?.revision === fence && !isWaiting && claims.isWaitOver(entry.id)
            && rejectedFences.get(entry.id) !== fence && !isStopped && takesOrders(closures.find(entry.id));
        const task = createOwnerTask(context, {
            entry,
            model,
            slots: spec.adapterSlots,
            fence,
            mayOrder,
            loadTimes,
            onFenced: () => void rejectedFences.set(entry.id, fence),
        });
        owned.set(entry.id, { task, bornMs: entry.bornMs, formerSettled });
        log.write("info", 300, { engine: entry.id, fence, bornMs: entry.bornMs });
    };
    /**
     * Stops owning an engine. Resolves, once the last order has been answered or has timed out, to whether no order of
     * this host or of an owner before it can be carried out any more.
     */
    const stopOrders = (engine: EngineId, reason: string): Promise<boolean> => {
        const existing = owned.get(engine);
        const isAfterFormerOrders = claims.isAfterFormerOrders(engine);
        stopOwning(engine, reason);
        return existing === undefined || !isAfterFormerOrders ? Promise.resolve(false) : settle(existing);
    };
    const startHandover = (engine: EngineId, revision: number): Handover => {
        const settled = stopOrders(engine, "the path is lost");
        formerlyOwned.delete(engine);
        lastHandoverMs.set(engine, clock.nowMs());
        const handover = { revision, settled, isWriting: false, isDone: false };
        handovers.set(engine, handover);
        return handover;
    };
    /** Writes that this host gives an engine up; called again until the store has answered. */
    const writeHandover = async (engine: EngineId, handover: Handover): Promise<void> => {
        if (session.lease === undefined || handover.isWriting || handover.isDone) {
            return;
        }
        handover.isWriting = true;
        try {
            const isReleased = await handover.settled;
            const expectedRevision = handover.revision;
            const reply = await claims.giveUp(engine, { expectedRevision, isReleased, hasLostPath: true });
            if (reply === undefined) {
                return;
            }
            health.recordCall(true, "hand engine over");
            handover.isDone = reply.kind !== "lease_ended";
            if (reply.kind === "written") {
                log.write("info", 301, { engine, reason: "the path is lost", isReleased });
            }
        }
        catch (err) {
            log.write("warn", 602, { step: toServeError(err, HANDOVER_INTERNAL).step, engine });
            health.recordCall(false, "hand engine over");
        }
        finally {
            handover.isWriting = false;
        }
    };
    /** Goes on with a handover until this host's view shows another claim; returns whether there is one. */
    const continueHandover = (engine: EngineId): boolean => {
        const handover = handovers.get(engine);
        if (handover === undefined) {
            return false;
        }
        const revision = claims.read(engine)?.revision;
        if (revision !== undefined && revision <= handover.revision) {
            void writeHandover(engine, handover);
            return true;
        }
        handovers.delete(engine);
        return false;
    };
    /** Whether this host's view of its claims is young enough to order by, where engines check no fences. */
    const hasOrderRight = (): boolean =>
        session.isVerified()
        && (context.readBounds().checksFences
            || holdsOrderRight(clusterView.readConfirmedFrom("hosts"), {
                nowMs: clock.nowMs(),
                wallMs: clock.wallMs(),
            }));
    const mayHandOver = (engine: EngineId): boolean =>
        health.isAvailable
        && clock.nowMs() - (lastHandoverMs.get(engine) ?? -Infinity) >= context.readBounds().orderLeaseMs;
    /** Ranks this host among those that may claim an engine, by the engine's order of live hosts. */
    const readRank = (claim: OwnerClaim | undefined, hosts: readonly HostId[]): number => {
        const order = claim?.hasLostPath === true
            ? rankSuccessors(
                hosts.map(host => ({ host, domain: clusterView.members.get(host)?.domain })),
                claim.host,
            )
            : hosts;
        const rank = order.indexOf(deployment.host);
        return rank < 0 ? order.length : rank;
    };
    const reconcileEngine = (entry: EngineEntry, spec: EngineSpec, hosts: readonly HostId[]): void => {
        if (continueHandover(entry.id)) {
            return;
        }
        const claim = claims.read(entry.id);
        const decision = decideEngineClaim({
            self: deployment.host,
            incarnation,
            claim,
            rank: readRank(claim, hosts),
            wasOwner: formerlyOwned.get(entry.id) === clusterView.hostKeyLists,
            isWaitOver: claims.isWaitOver(entry.id),
            isPathLost: paths.isPathLost(entry.id),
            mayHandOver: mayHandOver(entry.id),
            unownedMs: claims.readUnownedMs(entry.id),
            isNeverOwned: claims.isNeverOwned(entry.id),
            checksFences: context.readBounds().checksFences,
        });
        switch (decision.kind) {
            case "own":
                startOwning(entry, spec, decision.fence);
                return;
            case "claim":
                stopOwning(entry.id, claim?.host === deployment.host ? "its wait is over" : "the claim is gone");
                claims.claim(entry.id, decision);
                return;
            case "hand_over":
                void writeHandover(entry.id, startHandover(entry.id, decision.expectedRevision));
                return;
            case "wait":
                stopOwning(entry.id, "another host owns it");
                if (claim?.host !== undefined) {
                    formerlyOwned.delete(entry.id);
                }
                return;
        }
    };
    /** Assigns the engines to the hosts; computed again only if engines or hosts have changed. */
    const assignEngines = (engines: readonly EngineId[], hosts: readonly HostId[]): ReturnType<typeof assignOwners> => {
        const key = JSON.stringify([engines, hosts]);
        if (assignment?.key !== key) {
            assignment = { key, owners: assignOwners(hash, engines, hosts) };
        }
        return assignment.owners;
    };
    const reconcile = (): void => {
        if (isStopped) {
            return;
        }
        const hasWaitedForHosts = !deployment.isFirstStart || clock.nowMs() - startedMs >= FIRST_START_WAIT_MS;
        if (clusterView.hasReadHostKeys && session.lease !== undefined && hasWaitedForHosts) {
            const entries = [...clusterView.engines.values()].map(known => known.entry);
            const hosts = [...clusterView.members.values()].filter(member => !member.isLeaving).map(({ host }) => host);
            const owners = assignEngines(entries.filter(findSpec).map(entry => entry.id), hosts);
            runEach(log, "assign engine", entries, entry => entry.id, entry => {
                const spec = findSpec(entry);
                if (spec !== undefined) {
                    reconcileEngine(entry, spec, owners.get(entry.id) ?? hosts);
                }
            });
        }
    };
    const cancelReconciling = repeat(clock, RECONCILE_INTERVAL_MS, reconcile);
    clusterView.onEngineRemoved(entry => {
        stopOwning(entry.id, "the engine is gone");
        claims.forget(entry.id);
    });
    clusterView.onRelease(({ adapter, version }) => owned.forEach(({ task }) => task.refreshAdapter(adapter, version)));
    return {
        find(engine) {
            const task = owned.get(engine)?.task;
            return task === undefined || rejectedFences.get(engine) === task.fence ? undefined : task;
        },
        isFenced: engine => rejectedFences.has(engine) && rejectedFences.get(engine) === owned.get(engine)?.task.fence,
        findHolder(engine) {
            return context.readBounds().checksFences ? undefined : claims.findHolder(engine);
        },
        async answerOrderRight({ engine, fence }) {
            const existing = owned.get(engine);
            if (existing !== undefined) {
                const hasClaim = claims.read(engine)?.revision === existing.task.fence;
                const mayGoOn = fence === undefined ? hasOrderRight() && hasClaim : existing.task.fence >= fence;
                if (mayGoOn && !isStopped) {
                    return { kind: "holding" };
                }
                rejectedFences.set(engine, existing.task.fence);
                stopOwning(engine, "another host takes it over");
                await settle(existing);
            }
            return { kind: "stopped", lastOrderAgoMs: clock.nowMs() - (lastOrders.get(engine) ?? startedMs) };
        },
        async release() {
            isStopped = true;
            cancelReconciling();
            await Promise.all([...owned].map(async ([engine, { task }]) => {
                const isReleased = await stopOrders(engine, "the host stops");
                try {
                    // An engine that left an order without a reply is handed over like one whose path is lost.
                    const change = { expectedRevision: task.fence, isReleased, hasLostPath: !isReleased };
                    if (await claims.giveUp(engine, change) !== undefined) {
                        log.write("info", 301, { engine, reason: "the host stops", isReleased });
                    }
                }
                catch (err) {
                    log.write("warn", 602, { step: toServeError(err, INTERNAL).step, engine });
                }
            }));
        },
        stop() {
            isStopped = true;
            cancelReconciling();
            claims.stop();
            owned.forEach(({ task }) => task.stop());
        },
    };
}

/** Whether an engine that may get no requests, or may, takes orders: not while it leaves or pauses. */
function takesOrders(closure: WorkClosure | undefined): boolean {
    switch (closure?.kind) {
        case "leaving":
        case "paused":
        case "unusable":
            return false;
        case "recovering":
        case undefined:
            return true;
    }
}

const HANDOVER_INTERNAL = {
    code: "internal",
    step: "hand engine over",
    peer: "platform store",
    outcome: "unknown",
} as const;
const INTERNAL = { code: "internal", step: "claim engine", peer: "platform store", outcome: "unknown" } as const;
