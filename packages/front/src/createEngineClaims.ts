import type { ChangeReply } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { chooseOrderWait } from "@fulmarcleat/residency";
import type { EngineClaimDecision, FormerOwner, OwnerClaim } from "@fulmarcleat/residency";
import type { PeerClient } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import { createFormerOwners } from "./createFormerOwners.js";
import type { AskedOwners, LastOwner } from "./createFormerOwners.js";
import type { FrontContext } from "./frontContext.js";
import { formatOwner, formatOwnerKey } from "./hostKeys.js";
import type { Member } from "./hostKeys.js";
import type { Session } from "./startSession.js";
import type { StoreHealth } from "./storeHealth.js";

/** The owner keys of engines as this host reads and writes them, and its waits for the owners before it. */
export interface EngineClaims {
    /** Returns an engine's claim: this host's own one from the store's reply on, as the view may show it much later. */
    read(engine: EngineId): OwnerClaim | undefined;
    /**
     * Claims an engine; where the host must wait for the owners before it, these are asked first, and an owner that still
     * has the right to order keeps it.
     */
    claim(engine: EngineId, decision: Extract<EngineClaimDecision, { kind: "claim" }>): void;
    /** Writes that this host gives an engine up; undefined if it has no lease to write it with. */
    giveUp(engine: EngineId, change: GiveUp): Promise<ChangeReply | undefined>;
    /** Whether this host's wait for the owners before it is over. */
    isWaitOver(engine: EngineId): boolean;
    /** Whether no order of an owner before this host can be carried out any more. */
    isAfterFormerOrders(engine: EngineId): boolean;
    /** Whether an engine has had no owner since its start, or since the system's. */
    isNeverOwned(engine: EngineId): boolean;
    /** Time for which an engine has had no owner, in milliseconds. */
    readUnownedMs(engine: EngineId): number;
    /** Returns the host that may still order an engine although its claim has ended; undefined if none is known. */
    findHolder(engine: EngineId): Member | undefined;
    /** Forgets an engine that is gone. */
    forget(engine: EngineId): void;
    stop(): void;
}

/** How a host gives an engine up. */
export interface GiveUp {
    /** Revision of the claim that is given up. */
    readonly expectedRevision: number;
    /** Whether no order of this host or of an owner before it can be carried out any more. */
    readonly isReleased: boolean;
    readonly hasLostPath: boolean;
}

/** A change of an engine's owner key. */
interface OwnerChange extends GiveUp {
    readonly lease: number;
    readonly wait: OwnerWait;
}

/** What a new owner waits for before its first order. */
type OwnerWait = Pick<OwnerClaim, "waitsFor" | "formerHosts">;

/** What a new owner knows of the owners before it, and which hosts these may be. */
interface KnownFormerOwner extends AskedOwners {
    readonly former: FormerOwner;
}

/** A claim of this host that the store has written, and that the view may not show yet. */
interface WrittenClaim {
    readonly claim: OwnerClaim;
    /** Revision that the view shows until it shows this claim or a later one; undefined without a claim. */
    readonly formerRevision: number | undefined;
    readonly lease: number;
    readonly atMs: number;
}

/**
 * Time after another host was first to claim an engine before this host tries again on the same revision, in
 * milliseconds; the longest interval at which hosts learn of owners.
 */
const CONFLICT_PAUSE_MS = 1500;
/** Time between two tries to tell former owners that they must stop, in milliseconds. */
const STOP_RETRY_MS = 1000;

/**
 * Creates the reader and writer of engines' owner keys.
 *
 * @param context - Store, clock and log
 * @param health - Records whether the store answers
 * @param clusterView - Owner keys as the store has shown them
 * @param session - Supplies this host's lease
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the claims
 *
 * @example
 * const claims = createEngineClaims(context, health, clusterView, session, () => peers);
 */
export function createEngineClaims(
    context: FrontContext,
    health: StoreHealth,
    clusterView: ClusterView,
    session: Session,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): EngineClaims {
    const { clock, deployment, incarnation, log, store } = context;
    const formerOwners = createFormerOwners(context, clusterView, readPeers);
    const ordersAllowedFrom = new Map<EngineId, number>();
    /** Clock readings until which orders of an engine's earlier owners may still be carried out, in milliseconds. */
    const formerOrdersUntil = new Map<EngineId, number>();
    const firstObserved = new Map<EngineId, number>();
    const pendingClaims = new Set<EngineId>();
    const writtenClaims = new Map<EngineId, WrittenClaim>();
    const lostClaims = new Map<EngineId, { readonly revision: number; readonly atMs: number }>();
    let isStopped = false;

    const observe = (engine: EngineId): number => {
        const observedMs = firstObserved.get(engine) ?? clock.nowMs();
        firstObserved.set(engine, observedMs);
        return observedMs;
    };
    const isWaitOver = (engine: EngineId): boolean => clock.nowMs() >= (ordersAllowedFrom.get(engine) ?? 0);
    /** Writes an owner key; unless it is released, it ends with the lease, so that hosts of former versions claim it. */
    const writeOwner = (
        engine: EngineId,
        { expectedRevision, lease, isReleased, hasLostPath, wait }: OwnerChange,
    ): Promise<ChangeReply> => {
        const key = formatOwnerKey(engine);
        const value = formatOwner({ host: deployment.host, incarnation, isReleased, hasLostPath, ...wait });
        const expect = [{ key, revision: expectedRevision }];
        return store.change({ expect, puts: [{ key, value, lease }], removes: [] });
    };
    const read = (engine: EngineId): OwnerClaim | undefined => {
        const shown = clusterView.claims.current.get(engine);
        const written = writtenClaims.get(engine);
        const isAhead = written !== undefined && shown?.revision === written.formerRevision
            && session.lease === written.lease && clock.nowMs() - written.atMs < context.readBounds().contactMs;
        return isAhead ? written.claim : shown;
    };
    const isNeverOwned = (engine: EngineId): boolean => {
        const hasSeenAll = deployment.isFirstStart && clusterView.hostKeyLists === 1;
        const isNew = observe(engine) > clusterView.hostKeysListedMs;
        return !clusterView.claims.hasBeenClaimed(engine) && (hasSeenAll || isNew);
    };
    const claimEngine = async (engine: EngineId, expectedRevision: number, known: KnownFormerOwner): Promise<void> => {
        const { lease } = session;
        const lost = lostClaims.get(engine);
        const hasJustLost = lost?.revision === expectedRevision && clock.nowMs() - lost.atMs < CONFLICT_PAUSE_MS;
        if (lease === undefined || pendingClaims.has(engine) || hasJustLost) {
            return;
        }
        const former = clusterView.claims.current.get(engine);
        const mayHaveFormerOrders = former === undefined
            ? !isNeverOwned(engine)
            : !former.isReleased || former.isRestored === true;
        const { orderLeaseMs } = context.readBounds();
        const waitMs = chooseOrderWait(known.former, orderLeaseMs);
        const allowOrders = (): void => {
            ordersAllowedFrom.set(engine, clock.nowMs() + waitMs);
            const formerOrdersMs = Math.max(waitMs, mayHaveFormerOrders ? orderLeaseMs : 0);
            formerOrdersUntil.set(engine, clock.nowMs() + formerOrdersMs);
        };
        pendingClaims.add(engine);
        // The watch may show the claim before the reply to it arrives.
        allowOrders();
        try {
            const value = { isReleased: false, hasLostPath: false };
            const wait = waitMs > 0 ? describeWait(known) : {};
            const reply = await writeOwner(engine, { expectedRevision, lease, ...value, wait });
            health.recordCall(true, "claim engine");
            if (reply.kind === "written") {
                allowOrders();
                writtenClaims.set(engine, {
                    claim: { host: deployment.host, incarnation, ...value, ...wait, revision: reply.revision },
                    formerRevision: expectedRevision === 0 ? undefined : expectedRevision,
                    lease,
                    atMs: clock.nowMs(),
                });
                if (known.former.kind === "unknown" && known.hosts.length > 0) {
                    void stopFormerOwners(engine, known, reply.revision);
                }
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
    /** Tells former owners to stop until all have replied or the wait for the end of their right is over. */
    const stopFormerOwners = async (engine: EngineId, asked: AskedOwners, fence: number): Promise<void> => {
        const isStillWaiting = (): boolean => !isStopped && read(engine)?.revision === fence && !isWaitOver(engine);
        while (isStillWaiting()) {
            const last = await formerOwners.stop(engine, asked, fence);
            if (last.kind === "stopped" && isStillWaiting()) {
                const allowedMs = clock.nowMs() + chooseOrderWait(last, context.readBounds().orderLeaseMs);
                const untilMs = Math.min(allowedMs, ordersAllowedFrom.get(engine) ?? Infinity);
                ordersAllowedFrom.set(engine, untilMs);
                formerOrdersUntil.set(engine, untilMs);
                return;
            }
            await sleep(clock, STOP_RETRY_MS);
        }
    };
    /** Reads what the last owners of an engine whose claim has ended say; undefined if there was no such claim. */
    const readLapsed = (
        engine: EngineId,
    ): { readonly last: LastOwner; readonly asked: AskedOwners } | undefined => {
        const lapsed = clusterView.claims.lapsed.get(engine);
        if (lapsed === undefined) {
            return undefined;
        }
        const hosts = [lapsed.host, ...listFormerHosts(lapsed)];
        const asked = { hosts, wasWaiting: lapsed.waitsFor !== undefined };
        return { last: formerOwners.read(engine, asked), asked };
    };
    /** Returns what is known of the owners before a claim of this host; undefined while one orders or they are asked. */
    const readFormerOwner = (engine: EngineId): KnownFormerOwner | undefined => {
        const claim = read(engine);
        if (claim !== undefined && claim.isRestored !== true) {
            // Its owner has given the engine up or was this host before a restart; its last order may be a young one.
            const former: FormerOwner = claim.waitsFor === "order_right"
                ? { kind: "unknown" }
                : { kind: "stopped", lastOrderAgoMs: 0 };
            return { former, hosts: listFormerHosts(claim), wasWaiting: true };
        }
        const lapsed = readLapsed(engine);
        if (lapsed === undefined) {
            return { former: { kind: "unknown" }, hosts: [], wasWaiting: true };
        }
        const { last, asked } = lapsed;
        return last.kind === "holding" || last.kind === "asked" ? undefined : { former: last, ...asked };
    };
    return {
        read,
        claim(engine, { expectedRevision, mustWait }) {
            const known = mustWait ? readFormerOwner(engine) : NO_FORMER_OWNER;
            if (known !== undefined) {
                void claimEngine(engine, expectedRevision, known);
            }
        },
        giveUp(engine, change) {
            const lease = change.isReleased ? 0 : session.lease;
            const claim = isWaitOver(engine) ? undefined : read(engine);
            const wait = { waitsFor: claim?.waitsFor, formerHosts: claim?.formerHosts };
            return lease === undefined ? Promise.resolve(undefined) : writeOwner(engine, { ...change, lease, wait });
        },
        isWaitOver,
        isAfterFormerOrders: engine => clock.nowMs() >= (formerOrdersUntil.get(engine) ?? 0),
        isNeverOwned,
        readUnownedMs: engine => clock.nowMs() - (clusterView.claims.unownedSince.get(engine) ?? observe(engine)),
        findHolder(engine) {
            const last = readLapsed(engine)?.last;
            return last?.kind === "holding" ? last.holder : undefined;
        },
        forget(engine) {
            firstObserved.delete(engine);
            lostClaims.delete(engine);
            writtenClaims.delete(engine);
        },
        stop: () => void (isStopped = true),
    };
}

const NO_FORMER_OWNER: KnownFormerOwner = { former: { kind: "none" }, hosts: [], wasWaiting: false };

/** Lists the hosts that may still have the right to order while a claim's owner waits for its end. */
function listFormerHosts({ waitsFor, formerHosts = [] }: OwnerClaim): readonly HostId[] {
    return waitsFor === "order_right" ? formerHosts : [];
}

/** Describes what a new owner waits for, for those after it. */
function describeWait({ former, hosts }: KnownFormerOwner): OwnerWait {
    switch (former.kind) {
        case "none":
            return {};
        case "stopped":
            return { waitsFor: "order_lease" };
        case "unknown":
            return { waitsFor: "order_right", formerHosts: hosts };
    }
}

const INTERNAL = { code: "internal", step: "claim engine", peer: "platform store", outcome: "unknown" } as const;
