import type { MetadataStore } from "@fulmarcleat/directory";
import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { EventLog } from "@fulmarcleat/events";
import { sleep } from "@fulmarcleat/ids";
import { randomBytes } from "node:crypto";
import { LEASE_MS } from "./checkDeployment.js";
import type { ClusterView } from "./createClusterView.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey, PEER_SECRET_KEY } from "./hostKeys.js";
import type { StoreHealth } from "./storeHealth.js";

/** This host's session in the store. */
export interface Session {
    /** The session's lease; undefined before the first lease and after it expired. */
    readonly lease: number | undefined;
    /** Whether the store has confirmed the lease since the process was last paused, so that ownership still holds. */
    isVerified(): boolean;
    /** Called after a pause of the process; ownership does not count until the store confirms the lease again. */
    markUnverified(): void;
    /** The secret with which hosts authenticate to each other; resolves once the store has supplied it. */
    readonly peerSecret: Promise<string>;
    /** Marks this host as leaving in the store and stops renewing the lease. */
    leave(): Promise<void>;
}

/** Interval between two renewals of the lease, in milliseconds. */
const RENEW_INTERVAL_MS = 1000;
/** Delay after a failed call to the store, in milliseconds. */
const RETRY_DELAY_MS = 250;
/** Length of the secret with which hosts authenticate to each other, in bytes. */
const SECRET_BYTES = 24;

/**
 * Registers this host in the store and keeps its lease alive.
 *
 * @param context - Store, clock and log
 * @param health - Records whether the store answers
 * @param clusterView - Shows whether this host's own key is still in the store
 * @returns the session
 *
 * @example
 * const session = startSession(context, health, clusterView);
 */
export function startSession(context: FrontContext, health: StoreHealth, clusterView: ClusterView): Session {
    const { clock, deployment, log, store } = context;
    let lease: number | undefined;
    let isUnverified = false;
    let isLeaving = false;
    let isStopped = false;
    let resolveSecret: (secret: string) => void = () => undefined;
    const peerSecret = new Promise<string>(resolve => {
        resolveSecret = resolve;
    });
    const writeMember = async (currentLease: number): Promise<void> => {
        const { ip, peerPort: port, domain, forwardPort, linkMbps } = deployment;
        const value = formatMember({
            incarnation: context.incarnation,
            ip,
            port,
            domain,
            forwardPort,
            canBeFollowed: true,
            followsOriginRules: true,
            linkMbps,
            isLeaving,
        });
        const puts = [{ key: formatMemberKey(deployment.host), value, lease: currentLease }];
        const reply = await store.change({ expect: [], puts, removes: [] });
        if (reply.kind === "lease_ended") {
            throw new ServeError("the lease ended before the host was registered", {
                code: "kv_unavailable",
                step: "register host",
                peer: "platform store",
                outcome: "not_run",
            });
        }
    };
    const openSession = async (): Promise<void> => {
        const newLease = await store.openLease(Math.max(LEASE_MS, deployment.minLeaseMs));
        await writeMember(newLease);
        lease = newLease;
        isUnverified = false;
        log.write("info", 204, { lease: newLease });
    };
    const renewSession = async (currentLease: number): Promise<void> => {
        if (!await store.renewLease(currentLease)) {
            log.write("warn", 203, { lease: currentLease });
            lease = undefined;
            await openSession();
            await keepPeerSecret(store, await peerSecret, log);
            return;
        }
        isUnverified = false;
        if (clusterView.hasReadHostKeys && !clusterView.members.has(deployment.host)) {
            await writeMember(currentLease);
        }
    };
    const run = async (): Promise<void> => {
        resolveSecret(await retry(context, health, () => readPeerSecret(store)));
        while (!isStopped) {
            try {
                await (lease === undefined ? openSession() : renewSession(lease));
                health.recordCall(true, "renew lease");
                await sleep(clock, RENEW_INTERVAL_MS);
            }
            catch (err) {
                health.recordCall(false, toServeError(err, INTERNAL).step);
                await sleep(clock, RETRY_DELAY_MS);
            }
        }
    };
    void run();
    return {
        get lease() {
            return lease;
        },
        isVerified: () => lease !== undefined && !isUnverified,
        markUnverified: () => void (isUnverified = true),
        peerSecret,
        async leave() {
            isLeaving = true;
            if (lease !== undefined) {
                await writeMember(lease).catch((err: unknown) => {
                    log.write("warn", 602, { step: "announce leaving", reason: String(err) });
                });
            }
            isStopped = true;
        },
    };
}

const INTERNAL = { code: "internal", step: "keep session", peer: "self", outcome: "not_run" } as const;

async function retry<T>(context: FrontContext, health: StoreHealth, call: () => Promise<T>): Promise<T> {
    for (;;) {
        try {
            return await call();
        }
        catch (err) {
            health.recordCall(false, toServeError(err, INTERNAL).step);
            await sleep(context.clock, RETRY_DELAY_MS);
        }
    }
}

/** Writes the secret that all hosts share again if the store has lost it. */
async function keepPeerSecret(store: MetadataStore, secret: string, log: EventLog): Promise<void> {
    const stored = (await store.list(PEER_SECRET_KEY)).items[0]?.value.toString("utf8");
    if (stored === undefined) {
        const puts = [{ key: PEER_SECRET_KEY, value: Buffer.from(secret), lease: 0 }];
        await store.change({ expect: [{ key: PEER_SECRET_KEY, revision: 0 }], puts, removes: [] });
    }
    else if (stored !== secret) {
        log.write("error", 206, {});
    }
}

/** Reads the secret that all hosts share; the first host creates it. */
async function readPeerSecret(store: MetadataStore): Promise<string> {
    const existing = (await store.list(PEER_SECRET_KEY)).items[0];
    if (existing !== undefined) {
        return existing.value.toString("utf8");
    }
    const value = Buffer.from(randomBytes(SECRET_BYTES).toString("hex"));
    const expect = [{ key: PEER_SECRET_KEY, revision: 0 }];
    await store.change({ expect, puts: [{ key: PEER_SECRET_KEY, value, lease: 0 }], removes: [] });
    return readPeerSecret(store);
}
