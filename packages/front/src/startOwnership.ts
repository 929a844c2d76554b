import type { ChangeReply, EngineEntry, EngineSpec } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { assignOwners, decideEngineClaim } from "@fulmarcleat/residency";
import type { Knowledge } from "./createKnowledge.js";
import { createOwnerTask } from "./createOwnerTask.js";
import type { OwnerTask } from "./createOwnerTask.js";
import type { FrontContext } from "./frontContext.js";
import { formatOwner, formatOwnerKey } from "./hostKeys.js";
import type { Session } from "./startSession.js";
import type { StoreHealth } from "./storeHealth.js";

/** Which engines this host owns. */
export interface Ownership {
    find(engine: EngineId): OwnerTask | undefined;
    /** Whether the engine has shown that another host owns it, which this host has not heard of so far. */
    isFenced(engine: EngineId): boolean;
    /** Gives every engine up at a planned stop. */
    release(): Promise<void>;
    stop(): void;
}

/** A change of an engine's owner key. */
interface OwnerChange {
    readonly expectedRevision: number;
    readonly lease: number;
    readonly isReleased: boolean;
}

interface Owned {
    readonly task: OwnerTask;
    readonly bornMs: number | undefined;
}

/** How often ownership is looked at, in milliseconds. */
const ROUND_MS = 200;
/** How long the hosts of a first start take to find each other before engines are shared out, in milliseconds. */
const SETTLE_MS = 1500;

/**
 * Claims engines that nobody owns, and runs the owners' tasks of this host's engines.
 *
 * @param context - Store, clock and log
 * @param health - Takes in whether the store answers
 * @param knowledge - Engines, live hosts and claims
 * @param session - This host's lease
 * @returns the engines that this host owns
 *
 * @example
 * const ownership = startOwnership(context, health, knowledge, session);
 */
export function startOwnership(
    context: FrontContext,
    health: StoreHealth,
    knowledge: Knowledge,
    session: Session,
): Ownership {
    const { clock, deployment, hash, incarnation, log, store } = context;
    const owned = new Map<EngineId, Owned>();
    const formerly = new Set<EngineId>();
    const orderFrom = new Map<EngineId, number>();
    const firstSeen = new Map<EngineId, number>();
    const fencedAt = new Map<EngineId, number>();
    const claiming = new Set<EngineId>();
    const startedMs = clock.nowMs();
    let isStopped = false;
    let shared: { readonly key: string; readonly owners: ReturnType<typeof assignOwners> } | undefined;

    const findSpec = (entry: EngineEntry): EngineSpec | undefined =>
        knowledge.config?.services.get(entry.service)?.engine;
    const drop = (engine: EngineId, reason: string): void => {
        const present = owned.get(engine);
        if (present !== undefined) {
            present.task.stop();
            owned.delete(engine);
            log.write("info", 302, { engine, reason });
        }
    };
    const adopt = (entry: EngineEntry, spec: EngineSpec, fence: number): void => {
        const present = owned.get(entry.id);
        if (present?.task.fence === fence && present.bornMs === entry.bornMs) {
            return;
        }
        present?.task.stop();
        const model = spec.models[0]?.name;
        if (model === undefined || fencedAt.get(entry.id) === fence) {
            return;
        }
        formerly.add(entry.id);
        const mayOrder = (): boolean =>
            session.isTrusted() && clock.nowMs() >= (orderFrom.get(entry.id) ?? 0)
            && fencedAt.get(entry.id) !== fence && !isStopped;
        const task = createOwnerTask(context, {
            entry,
            model,
            slots: spec.adapterSlots,
            fence,
            mayOrder,
            onFenced: () => void fencedAt.set(entry.id, fence),
        });
        owned.set(entry.id, { task, bornMs: entry.bornMs });
        log.write("info", 300, { engine: entry.id, fence, bornMs: entry.bornMs });
    };
    const writeOwner = (
        engine: EngineId,
        { expectedRevision, lease, isReleased }: OwnerChange,
    ): Promise<ChangeReply> => {
        const key = formatOwnerKey(engine);
        const value = formatOwner({ host: deployment.host, incarnation, isReleased });
        const expect = [{ key, revision: expectedRevision }];
        return store.change({ expect, puts: [{ key, value, lease }], removes: [] });
    };
    const claim = async (engine: EngineId, expectedRevision: number, mustWait: boolean): Promise<void> => {
        const { lease } = session;
        if (lease === undefined || claiming.has(engine)) {
            return;
        }
        const allowOrders = (): void =>
            void orderFrom.set(engine, clock.nowMs() + (mustWait ? context.readBounds().orderLeaseMs : 0));
        claiming.add(engine);
        try {
            const reply = await writeOwner(engine, { expectedRevision, lease, isReleased: false });
            health.note(true, "claim engine");
            if (reply.kind === "written") {
                allowOrders();
            }
        }
        catch (err) {
            // The claim may have been written.
            allowOrders();
            log.write("warn", 602, { step: toServeError(err, INTERNAL).step, engine });
            health.note(false, "claim engine");
        }
        finally {
            claiming.delete(engine);
        }
    };
    const look = (entry: EngineEntry, spec: EngineSpec, hosts: readonly HostId[]): void => {
        const rank = hosts.indexOf(deployment.host);
        if (!firstSeen.has(entry.id)) {
            firstSeen.set(entry.id, clock.nowMs());
        }
        const unownedSinceMs = knowledge.unownedSince.get(entry.id) ?? firstSeen.get(entry.id) ?? 0;
        const decision = decideEngineClaim({
            self: deployment.host,
            incarnation,
            claim: knowledge.claims.get(entry.id),
            rank: rank < 0 ? hosts.length : rank,
            wasOwner: formerly.has(entry.id),
            unownedMs: clock.nowMs() - unownedSinceMs,
            isFirstStart: deployment.isFirstStart,
            checksFences: context.readBounds().checksFences,
        });
        switch (decision.kind) {
            case "own":
                adopt(entry, spec, decision.fence);
                return;
            case "claim":
                drop(entry.id, "the claim is gone");
                void claim(entry.id, decision.expectedRevision, decision.mustWait);
                return;
            case "wait":
                drop(entry.id, "another host owns it");
                if (knowledge.claims.get(entry.id)?.host !== undefined) {
                    formerly.delete(entry.id);
                }
                return;
        }
    };
    /** Shares engines out again only where engines or hosts have changed. */
    const share = (engines: readonly EngineId[], hosts: readonly HostId[]): ReturnType<typeof assignOwners> => {
        const key = JSON.stringify([engines, hosts]);
        if (shared?.key !== key) {
            shared = { key, owners: assignOwners(hash, engines, hosts) };
        }
        return shared.owners;
    };
    const round = (): void => {
        if (isStopped) {
            return;
        }
        const isSettled = !deployment.isFirstStart || clock.nowMs() - startedMs >= SETTLE_MS;
        if (knowledge.hasHosts && session.lease !== undefined && isSettled) {
            const entries = [...knowledge.engines.values()].map(known => known.entry);
            const hosts = [...knowledge.members.values()].filter(member => !member.isLeaving).map(({ host }) => host);
            const owners = share(entries.filter(findSpec).map(entry => entry.id), hosts);
            for (const entry of entries) {
                const spec = findSpec(entry);
                if (spec !== undefined) {
                    look(entry, spec, owners.get(entry.id) ?? hosts);
                }
            }
        }
        clock.setTimer(ROUND_MS, round);
    };
    round();
    knowledge.onEngineGone(entry => {
        drop(entry.id, "the engine is gone");
        firstSeen.delete(entry.id);
    });
    knowledge.onRelease(({ adapter, version }) => owned.forEach(({ task }) => task.refresh(adapter, version)));
    return {
        find(engine) {
            const task = owned.get(engine)?.task;
            return task === undefined || fencedAt.get(engine) === task.fence ? undefined : task;
        },
        isFenced: engine => fencedAt.has(engine) && fencedAt.get(engine) === owned.get(engine)?.task.fence,
        async release() {
            isStopped = true;
            const engines = [...owned.entries()];
            engines.forEach(([engine]) => drop(engine, "the host stops"));
            await Promise.all(engines.map(async ([engine, { task }]) => {
                try {
                    await writeOwner(engine, { expectedRevision: task.fence, lease: 0, isReleased: true });
                    log.write("info", 301, { engine });
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

const INTERNAL = { code: "internal", step: "claim engine", peer: "platform store", outcome: "unknown" } as const;
