import type { EngineDriver } from "@fulmarcleat/drivers";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { createId } from "@fulmarcleat/ids";
import type { CancelTimer, Clock, EngineId, FailureDomain, HostId, Incarnation, Nonce } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import type { PolicyDecisions, PopularityTable } from "@fulmarcleat/placement";
import type { Decision, PlaceAsk, PlacesHeldAsk, PlacesHeldReply } from "@fulmarcleat/wire";
import { decideClaim } from "./decideClaim.js";
import type { FormerOwner } from "./engineMessage.js";
import type { EngineLimits } from "./engineState.js";
import type { LoadBudgetTask } from "./loadBudgetTask.js";
import { formatOwnerKey, formatSessionKey, ownerRecordSchema } from "./ownerRecord.js";
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

/** Settings of the task that claims engines. */
export interface OwnershipTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly budget: LoadBudgetTask;
    /** Time between two looks at the ownership records, in milliseconds. */
    readonly claimMs: number;
    readonly reportMs: number;
    readonly orderMs: number;
    /** Time that a session lease stands, in milliseconds. */
    readonly leaseMs: number;
    readonly listEngines: () => readonly OwnableEngine[];
    readonly listHosts: () => readonly OwnerHost[];
    readonly askHeld: (host: HostId, ask: PlacesHeldAsk) => Promise<PlacesHeldReply>;
    /** The policy's decisions; the system's own where undefined. */
    readonly decisions?: PolicyDecisions;
    /** How often adapters are asked for, over all engines of this host. */
    readonly popularity: PopularityTable;
    readonly chooseReplicas: (ask: PlaceAsk, ratePerSecond: number) => readonly EngineId[];
    readonly recordDecision: (decision: Omit<Decision, "host" | "atMs">) => void;
}

/** The task that claims engines and runs a task for each. */
export interface OwnershipTask {
    find(engine: EngineId): EngineTask | undefined;
    readonly owned: readonly EngineTask[];
    hostReplaced(host: HostId, former: Incarnation): void;
    /** Gives up every engine, for a planned stop. */
    release(): Promise<void>;
    stop(): void;
}

/**
 * Starts the task that claims engines through the key-value service.
 *
 * @param options - Client, hosts and engines
 * @returns the task
 *
 * @example
 * const ownership = startOwnershipTask(options);
 */
export function startOwnershipTask(options: OwnershipTaskOptions): OwnershipTask {
    const { clock, host, incarnation, kv, log } = options;
    const tasks = new Map<EngineId, EngineTask>();
    let isStopped = false;
    let isReleasing = false;
    let cancel: CancelTimer = () => undefined;

    const ensureTask = (entry: OwnableEngine): EngineTask => {
        const present = tasks.get(entry.engine);
        if (present !== undefined) {
            return present;
        }
        const created = startEngineTask({
            ...options,
            engine: entry.engine,
            driver: entry.driver,
            limits: entry.limits,
            onReleased: fence => void giveUp(entry.engine, fence),
        });
        tasks.set(entry.engine, created);
        return created;
    };
    const readRecord = async (engine: EngineId): Promise<{ record: OwnerRecord | undefined; revision: number }> => {
        const entry = await kv.read("owner", formatOwnerKey(engine));
        return {
            record: entry === undefined ? undefined : ownerRecordSchema.parse(JSON.parse(entry.value)),
            revision: entry?.revision ?? 0,
        };
    };
    const writeRecord = async (
        engine: EngineId,
        expectedRevision: number,
        fence: number,
        released: boolean,
    ): Promise<boolean> => {
        const nonce = createId<Nonce>();
        const value: OwnerRecord = { host, incarnation, fence, released, nonce };
        const outcome = await kv.write({
            purpose: "owner",
            key: formatOwnerKey(engine),
            expectedRevision,
            value: JSON.stringify(value),
            isOwn: text => text.includes(nonce),
        });
        return outcome.kind === "applied";
    };
    const giveUp = async (engine: EngineId, fence: number): Promise<void> => {
        const { record, revision } = await readRecord(engine);
        if (record?.host === host && record.fence === fence) {
            await writeRecord(engine, revision, fence, true);
        }
        log.write("info", 301, { engine, fence });
    };
    const readSession = async (owner: HostId): Promise<Incarnation | undefined> => {
        const entry = await kv.read("session", formatSessionKey(owner));
        return entry === undefined ? undefined : entry.value as Incarnation;
    };
    const consider = async (entry: OwnableEngine): Promise<void> => {
        const task = tasks.get(entry.engine);
        task?.send({ kind: "limits", limits: entry.limits });
        const { record, revision } = await readRecord(entry.engine);
        if (
            task !== undefined && task.state.phase === "owned"
            && (record?.host !== host || record.fence !== task.state.fence)
        ) {
            log.write("warn", 302, { engine: entry.engine });
            task.send({ kind: "lost" });
        }
        const ownerSession = record === undefined || record.released ? undefined : await readSession(record.host);
        const decision = decideClaim({
            self: host,
            incarnation,
            record,
            ownerSession,
            isPreferred: isPreferred(entry, options),
        });
        if (decision.kind === "claim" && await writeRecord(entry.engine, revision, decision.fence, false)) {
            acquire(entry, decision.fence, decision.former);
        }
    };
    const acquire = (entry: OwnableEngine, fence: number, former: FormerOwner): void => {
        const others = options.listHosts().filter(member => member.host !== host);
        const task = ensureTask(entry);
        task.send({
            kind: "acquired",
            fence,
            former,
            hosts: others.map(member => member.host),
            leaseMs: options.leaseMs,
        });
        log.write("info", 300, { engine: entry.engine, fence, former });
        others.forEach(member => void inquire(task, entry.engine, fence, member));
    };
    const inquire = async (task: EngineTask, engine: EngineId, fence: number, member: OwnerHost): Promise<void> => {
        const askedMs = clock.nowMs();
        const held = await options.askHeld(member.host, { engine, fence, revoke: undefined }).catch(() => undefined);
        if (held !== undefined && member.incarnation !== undefined) {
            task.send({
                kind: "held",
                host: member.host,
                incarnation: member.incarnation,
                askedMs,
                places: held.places,
            });
        }
    };
    const round = async (): Promise<void> => {
        for (const entry of options.listEngines()) {
            if (!isReleasing) {
                await consider(entry).catch(() => options.metrics.count("claim_failures_total"));
            }
        }
        if (!isStopped) {
            cancel = clock.setTimer(options.claimMs, () => void round());
        }
    };
    void round();
    return {
        find: engine => tasks.get(engine),
        get owned() {
            return [...tasks.values()].filter(task => task.state.phase === "owned");
        },
        hostReplaced: (gone, former) =>
            tasks.forEach(task => task.send({ kind: "hostGone", host: gone, incarnation: former })),
        async release() {
            isReleasing = true;
            tasks.forEach(task => task.send({ kind: "release" }));
            await Promise.all([...tasks.values()].map(task => waitUnowned(task, clock)));
        },
        stop() {
            isStopped = true;
            cancel();
            tasks.forEach(task => task.stop());
        },
    };
}

const RELEASE_POLL_MS = 20;

async function waitUnowned(task: EngineTask, clock: Clock): Promise<void> {
    while (task.state.phase !== "unowned") {
        await new Promise<void>(resolve => clock.setTimer(RELEASE_POLL_MS, resolve));
    }
}

function isPreferred(entry: OwnableEngine, options: OwnershipTaskOptions): boolean {
    const hosts = options.listHosts();
    const near = hosts.filter(member => member.failureDomain === entry.failureDomain);
    const candidates = (near.length > 0 ? near : hosts).map(member => member.host);
    return rankByRendezvous(options.hash, entry.engine, candidates)[0] === options.host;
}
