import { ServeError } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { PeerClient } from "@fulmarcleat/wire";
import type { HostFaults } from "./createHostFaults.steps.js";

/** Handlers of a host's messages, by the messages' names. */
export type OwnerPeerHandlers = Readonly<Record<string, (body: never) => unknown>>;

/** Paths between the hosts of a fleet of owners. */
export interface OwnerFleetPeers {
    /** Cuts exactly these hosts off from all other hosts. */
    cut(hosts: readonly string[]): void;
    /** Registers a running host; undefined handlers mean that its process has ended. */
    serve(host: string, handlers: OwnerPeerHandlers | undefined): void;
    /** Creates a host's client for messages to the others. */
    connect(from: string): Pick<PeerClient, "request">;
}

/** Time for a message between hosts, in milliseconds. */
const DELAY_MS = 2;

/**
 * Creates the paths between the hosts of a fleet of owners: a cut or frozen host sends no reply, and a connection to a
 * host whose process has ended is refused.
 *
 * @param clock - True time
 * @param faults - Tells which hosts are frozen
 * @param sendReply - Carries a reply over both hosts' links while it is awaited; takes no time by default
 * @returns the paths, all open
 *
 * @example
 * const peers = createOwnerFleetPeers(clock, faults);
 */
export function createOwnerFleetPeers(
    clock: Clock,
    faults: HostFaults,
    sendReply?: (from: string, to: string, reply: unknown, isAwaited: () => boolean) => Promise<void>,
): OwnerFleetPeers {
    const served = new Map<string, OwnerPeerHandlers | undefined>();
    let cut: ReadonlySet<string> = new Set();
    const connect = (from: string) => ({
        request: (to: { readonly host: string }, name: string, body: unknown, timeoutMs: number) =>
            new Promise((resolve, reject) => {
                let isAwaited = true;
                const isCut = cut.has(from) || cut.has(to.host);
                clock.setTimer(
                    timeoutMs,
                    () =>
                        void faults.whenRunning(from).then(() => {
                            isAwaited = false;
                            reject(new Error("no reply"));
                        }),
                );
                clock.setTimer(DELAY_MS, () => {
                    if (isCut) {
                        return;
                    }
                    if (served.get(to.host) === undefined) {
                        reject(createRefusal());
                        return;
                    }
                    void faults.whenRunning(to.host)
                        .then(() => served.get(to.host)?.[name]?.(body as never))
                        .then(async reply => {
                            await sendReply?.(to.host, from, reply, () => isAwaited);
                            await faults.whenRunning(from);
                            resolve(reply);
                        }, reject);
                });
            }),
    });
    return {
        cut: hosts => void (cut = new Set(hosts)),
        serve: (host, handlers) => void served.set(host, handlers),
        connect: from => connect(from) as unknown as Pick<PeerClient, "request">,
    };
}

/** Creates the error of the hosts' client for a connection that is refused. */
function createRefusal(): ServeError {
    const cause = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
    const details = { code: "peer_failed", step: "ask peer", peer: "peer", outcome: "not_run", cause } as const;
    return new ServeError("the connection could not be opened", details);
}
