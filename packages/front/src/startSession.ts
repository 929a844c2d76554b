import type { MetadataStore } from "@fulmarcleat/directory";
import { ServeError, toServeError } from "@fulmarcleat/errors";
import { waitMs } from "@fulmarcleat/ids";
import { randomBytes } from "node:crypto";
import type { Knowledge } from "./createKnowledge.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey, PEER_SECRET_KEY } from "./hostKeys.js";
import type { StoreHealth } from "./storeHealth.js";

/** This host's session in the store. */
export interface Session {
    /** The session's lease; undefined before the first and after a lapse. */
    readonly lease: number | undefined;
    /** Whether what the host owned may still be counted as its own. */
    isTrusted(): boolean;
    /** The process stood still; nothing is trusted until the store has answered. */
    distrust(): void;
    /** The secret that hosts prove to each other; resolves once the store has given it. */
    readonly peerSecret: Promise<string>;
    leave(): Promise<void>;
}

/**
 * Lease of a host's keys, in milliseconds. It outlasts a restart, so that a host
 * finds its engines still its own, and a former owner's last order is older than the platform's lease of orders.
 */
const LEASE_MS = 6000;
/** Pace of the lease's renewals, in milliseconds. */
const RENEW_MS = 1000;
/** Pause after a call that failed, in milliseconds. */
const RETRY_MS = 250;
/** Length of the secret that hosts prove to each other, in bytes. */
const SECRET_BYTES = 24;

/**
 * Registers this host in the store and keeps its lease.
 *
 * @param context - Store, clock and log
 * @param health - Takes in whether the store answers
 * @param knowledge - Shows whether the host's own key is still there
 * @returns the session
 *
 * @example
 * const session = startSession(context, health, knowledge);
 */
export function startSession(context: FrontContext, health: StoreHealth, knowledge: Knowledge): Session {
    const { clock, deployment, log, store } = context;
    let lease: number | undefined;
    let isDistrusted = false;
    let isLeaving = false;
    let isStopped = false;
    let tellSecret: (secret: string) => void = () => undefined;
    const peerSecret = new Promise<string>(resolve => {
        tellSecret = resolve;
    });
    const writeMember = async (current: number): Promise<void> => {
        const { ip, peerPort: port } = deployment;
        const value = formatMember({ incarnation: context.incarnation, ip, port, isLeaving });
        const puts = [{ key: formatMemberKey(deployment.host), value, lease: current }];
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
    const open = async (): Promise<void> => {
        const opened = await store.openLease(Math.max(LEASE_MS, deployment.minLeaseMs));
        await writeMember(opened);
        lease = opened;
        isDistrusted = false;
        log.write("info", 204, { lease: opened });
    };
    const renew = async (current: number): Promise<void> => {
        if (!await store.renewLease(current)) {
            log.write("warn", 203, { lease: current });
            lease = undefined;
            await open();
            return;
        }
        isDistrusted = false;
        if (knowledge.hasHosts && !knowledge.members.has(deployment.host)) {
            await writeMember(current);
        }
    };
    const run = async (): Promise<void> => {
        tellSecret(await retry(context, health, () => readPeerSecret(store)));
        while (!isStopped) {
            try {
                await (lease === undefined ? open() : renew(lease));
                health.note(true, "renew lease");
                await waitMs(clock, RENEW_MS);
            }
            catch (err) {
                health.note(false, toServeError(err, INTERNAL).step);
                await waitMs(clock, RETRY_MS);
            }
        }
    };
    void run();
    return {
        get lease() {
            return lease;
        },
        isTrusted: () => lease !== undefined && !isDistrusted,
        distrust: () => void (isDistrusted = true),
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
            health.note(false, toServeError(err, INTERNAL).step);
            await waitMs(context.clock, RETRY_MS);
        }
    }
}

/** The first host to come draws the secret; the others read it. */
async function readPeerSecret(store: MetadataStore): Promise<string> {
    const present = (await store.list(PEER_SECRET_KEY)).items[0];
    if (present !== undefined) {
        return present.value.toString("utf8");
    }
    const value = Buffer.from(randomBytes(SECRET_BYTES).toString("hex"));
    const expect = [{ key: PEER_SECRET_KEY, revision: 0 }];
    await store.change({ expect, puts: [{ key: PEER_SECRET_KEY, value, lease: 0 }], removes: [] });
    return readPeerSecret(store);
}
