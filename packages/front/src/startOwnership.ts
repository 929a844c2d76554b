import type { ChangeReply, EngineEntry, EngineSpec } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { assignOwners, decideEngineClaim, rankSuccessors } from "@fulmarcleat/residency";
import type { OwnerClaim } from "@fulmarcleat/residency";
import type { ClusterView } from "./createClusterView.js";
import { createOwnerTask } from "./createOwnerTask.js";
import type { OwnerTask } from "./createOwnerTask.js";
import type { EnginePaths } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import { formatOwner, formatOwnerKey } from "./hostKeys.js";
import type { Session } from "./startSession.js";
import type { StoreHealth } from "./storeHealth.js";

/** The engines that this host owns. */
export interface Ownership {
    /** Returns the task of an engine that this host owns; undefined if it does not own the engine. */
    find(engine: EngineId): OwnerTask | undefined;
    /** Whether the engine rejected this host's fencing token, and the store does not show the new owner yet. */
    isFenced(engine: EngineId): boolean;
    /** Releases every engine at a graceful stop. */
    release(): Promise<void>;
    /** Stops all tasks and claims without releasing the engines. */
    stop(): void;
}

/** A change of an engine's owner key. */
interface OwnerChange {
    readonly expectedRevision: number;
    readonly lease: number;
    readonly isReleased: boolean;
    readonly hasLostPath: boolean;
}

/** An engine that this host owns. */
interface OwnedEngine {
    readonly task: OwnerTask;
    /** Start time that the engine reported when the task was created, in milliseconds; a restart creates a new task. */
    readonly bornMs: number | undefined;
    /** Resolves to whether no order of the tasks before this one can be carried out any more. */
    readonly formerSettled: Promise<boolean>;
}

/** A claim of this host that the store has written, and that the view may not show yet. */
interface WrittenClaim {
    readonly claim: OwnerClaim;
    /** Revision that the view shows until it shows this claim or a later one; undefined without a claim. */
    readonly formerRevision: number | undefined;
    readonly lease: number;
    readonly atMs: number;
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
 * Time after another host was first to claim an engine before this host tries again on the same revision, in
 * milliseconds; the longest interval at which hosts learn of owners.
 */
const CONFLICT_PAUSE_MS = 1500;

/**
 * Claims engines without an owner and runs the owner tasks of this host's engines.
 *
 * @param context - Store, clock, hash and log
 * @param health - Records whether the store answers
 * @param clusterView - Engines, live hosts and owner keys
 * @param session - Supplies this host's lease
 * @param paths - Tells to which engines this host has lost its path; it hands these over
 * @returns the engines that this host owns
 *
 * @example
 * const ownership = startOwnership(context, health, clusterView, session, paths);
 */
export function startOwnership(
    context: FrontContext,
    health: StoreHealth,
    clusterView: ClusterView,
    session: Session,
    paths: Pick<EnginePaths, "isPathLost">,
): Ownership {
    const { clock, deployment, hash, incarnation, log, store } = context;
    const owned = new Map<EngineId, OwnedEngine>();
    const formerlyOwned = new Set<EngineId>();
    const ordersAllowedFrom = new Map<EngineId, number>();
    const firstObserved = new Map<EngineId, number>();
    const rejectedFences = new Map<EngineId, number>();
    const pendingClaims = new Set<EngineId>();
    const handovers = new Map<EngineId, Handover>();
    const lastHandoverMs = new Map<EngineId, number>();
    /** Clock readings until which orders of an engine's earlier owners may still be carried out, in milliseconds. */
    const formerOrdersUntil = new Map<EngineId, number>();
    const writtenClaims = new Map<EngineId, WrittenClaim>();
    const lostClaims = new Map<EngineId, { readonly revision: number; readonly atMs: number }>();
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
            log.write("info", 302, { engine, reason });
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
        existing?.task.stop();
        const formerSettled = existing === undefined ? Promise.resolve(true) : settle(existing);
        const model = spec.models[0]?.name;
        if (model === undefined || rejectedFences.get(entry.id) === fence) {
            return;
        }
        formerlyOwned.add(entry.id);
        const mayOrder = (): boolean =>
            session.isVerified() && clock.nowMs() >= (ordersAllowedFrom.get(entry.id) ?? 0)
            && rejectedFences.get(entry.id) !== fence && !isStopped;
        const task = createOwnerTask(context, {
            entry,
            model,
            slots: spec.adapterSlots,
            fence,
            mayOrder,
            onFenced: () => void rejectedFences.set(entry.id, fence),
        });
        owned.set(entry.id, { task, bornMs: entry.bornMs, formerSettled });
        log.write("info", 300, { engine: entry.id, fence, bornMs: entry.bornMs });
    };
    /** Writes an owner key; unless it is released, it ends with the lease, so that hosts of former versions claim it. */
    const writeOwner = (
        engine: EngineId,
        { expectedRevision, lease, isReleased, hasLostPath }: OwnerChange,
    ): Promise<ChangeReply> => {
        const key = formatOwnerKey(engine);
        const value = formatOwner({ host: deployment.host, incarnation, isReleased, hasLostPath });
        const expect = [{ key, revision: expectedRevision }];
        return store.change({ expect, puts: [{ key, value, lease }], removes: [] });
    };
    /** Returns an engine's claim: this host's own one from the store's reply on, as the view may show it much later. */
    const readClaim = (engine: EngineId): OwnerClaim | undefined => {
        const shown = clusterView.claims.get(engine);
        const written = writtenClaims.get(engine);
        const isAhead = written !== undefined && shown?.revision === written.formerRevision
            && session.lease === written.lease && clock.nowMs() - written.atMs < context.readBounds().contactMs;
        return isAhead ? written.claim : shown;
    };
    const claimEngine = async (engine: EngineId, expectedRevision: number, mustWait: boolean): Promise<void> => {
        const { lease } = session;
        const lost = lostClaims.get(engine);
        const hasJustLost = lost?.revision === expectedRevision && clock.nowMs() - lost.atMs < CONFLICT_PAUSE_MS;
        if (lease === undefined || pendingClaims.has(engine) || hasJustLost) {
            return;
        }
        const former = clusterView.claims.get(engine);
        const mayHaveFormerOrders = former === undefined ? !deployment.isFirstStart : !former.isReleased;
        const allowOrders = (): void => {
            const { orderLeaseMs } = context.readBounds();
            ordersAllowedFrom.set(engine, clock.nowMs() + (mustWait ? orderLeaseMs : 0));
            formerOrdersUntil.set(engine, clock.nowMs() + (mayHaveFormerOrders ? orderLeaseMs : 0));
        };
        pendingClaims.add(engine);
        // The watch may show the claim before the reply to it arrives.
        allowOrders();
        try {
            const change = { expectedRevision, lease, isReleased: false, hasLostPath: false };
            const reply = await writeOwner(engine, change);
            health.recordCall(true, "claim engine");
            if (reply.kind === "written") {
                allowOrders();
                writtenClaims.set(engine, {
                    claim: {
                        host: deployment.host,
                        incarnation,
                        isReleased: false,
                        hasLostPath: false,
                        revision: reply.revision,
                    },
                    formerRevision: expectedRevision === 0 ? undefined : expectedRevision,
                    lease,
                    atMs: clock.nowMs(),
                });
            }
            else if (reply.kind === "conflict") {
                lostClaims.set(engine, { revision: expectedRevision, atMs: clock.nowMs() });
            }
        }
        catch (err) {
            // The call failed, but the claim may have been written.
            allowOrders();
            log.write("warn", 602, { step: toServeError(err, INTERNAL).step, engine });
            health.recordCall(false, "claim engine");
        }
        finally {
            pendingClaims.delete(engine);
        }
    };
    /**
     * Stops owning an engine. Resolves, once the last order has been answered or has timed out, to whether no order of
     * this host or of an owner before it can be carried out any more.
     */
    const stopOrders = (engine: EngineId, reason: string): Promise<boolean> => {
        const existing = owned.get(engine);
        const isAfterFormerOrders = clock.nowMs() >= (formerOrdersUntil.get(engine) ?? 0);
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
        const { lease } = session;
        if (lease === undefined || handover.isWriting || handover.isDone) {
            return;
        }
        handover.isWriting = true;
        try {
            const isReleased = await handover.settled;
            const reply = await writeOwner(engine, {
                expectedRevision: handover.revision,
                lease: isReleased ? 0 : lease,
                isReleased,
                hasLostPath: true,
            });
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
        const revision = readClaim(engine)?.revision;
        if (revision !== undefined && revision <= handover.revision) {
            void writeHandover(engine, handover);
            return true;
        }
        handovers.delete(engine);
        return false;
    };
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
        const claim = readClaim(entry.id);
        if (!firstObserved.has(entry.id)) {
            firstObserved.set(entry.id, clock.nowMs());
        }
        const unownedSinceMs = clusterView.unownedSince.get(entry.id) ?? firstObserved.get(entry.id) ?? 0;
        const decision = decideEngineClaim({
            self: deployment.host,
            incarnation,
            claim,
            rank: readRank(claim, hosts),
            wasOwner: formerlyOwned.has(entry.id),
            isPathLost: paths.isPathLost(entry.id),
            mayHandOver: mayHandOver(entry.id),
            unownedMs: clock.nowMs() - unownedSinceMs,
            isFirstStart: deployment.isFirstStart,
            checksFences: context.readBounds().checksFences,
        });
        switch (decision.kind) {
            case "own":
                startOwning(entry, spec, decision.fence);
                return;
            case "claim":
                stopOwning(entry.id, "the claim is gone");
                void claimEngine(entry.id, decision.expectedRevision, decision.mustWait);
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
            for (const entry of entries) {
                const spec = findSpec(entry);
                if (spec !== undefined) {
                    reconcileEngine(entry, spec, owners.get(entry.id) ?? hosts);
                }
            }
        }
        clock.setTimer(RECONCILE_INTERVAL_MS, reconcile);
    };
    reconcile();
    clusterView.onEngineRemoved(entry => {
        stopOwning(entry.id, "the engine is gone");
        firstObserved.delete(entry.id);
        lostClaims.delete(entry.id);
        writtenClaims.delete(entry.id);
    });
    clusterView.onRelease(({ adapter, version }) => owned.forEach(({ task }) => task.refreshAdapter(adapter, version)));
    return {
        find(engine) {
            const task = owned.get(engine)?.task;
            return task === undefined || rejectedFences.get(engine) === task.fence ? undefined : task;
        },
        isFenced: engine => rejectedFences.has(engine) && rejectedFences.get(engine) === owned.get(engine)?.task.fence,
        async release() {
            isStopped = true;
            await Promise.all([...owned].map(async ([engine, { task }]) => {
                const isReleased = await stopOrders(engine, "the host stops");
                const lease = isReleased ? 0 : session.lease;
                if (lease === undefined) {
                    return;
                }
                try {
                    // An engine that left an order without a reply is handed over like one whose path is lost.
                    await writeOwner(engine, {
                        expectedRevision: task.fence,
                        lease,
                        isReleased,
                        hasLostPath: !isReleased,
                    });
                    log.write("info", 301, { engine, reason: "the host stops", isReleased });
                }
                catch (err) {
                    log.write("warn", 602, { step: toServeError(err, INTERNAL).step, engine });
                }
            }));
        },
        stop() {
            isStopped = true;
            owned.forEach(({ task }) => task.stop());
        },
    };
}

const HANDOVER_INTERNAL = {
    code: "internal",
    step: "hand engine over",
    peer: "platform store",
    outcome: "unknown",
} as const;
const INTERNAL = { code: "internal", step: "claim engine", peer: "platform store", outcome: "unknown" } as const;
