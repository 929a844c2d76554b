import type { Clock, HostId, Random } from "@fulmarcleat/ids";
import type { PeerClient } from "@fulmarcleat/wire";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { FleetHandover, FrontFleetOptions } from "./frontFleet.steps.js";
import type { RequestRunner } from "./runRequest.js";

/** A host's handlers of messages, by the messages' names. */
export type PeerHandlers = Readonly<Record<string, (body: never, from: HostId) => unknown>>;

/** Paths between the hosts of a fleet. */
export interface FleetPeers {
    /** Creates a host's client for messages to the others. */
    connect(from: HostId): PeerClient;
    /** Hands a request to another host, which runs it as its own; rejects if that host has stopped. */
    forward(from: HostId, to: HostId, request: ClientRequest): Promise<RequestEnd>;
    readonly handovers: readonly FleetHandover[];
}

/** Faults of the paths, and the hosts at their ends. */
export interface FleetPeersOptions extends Pick<FrontFleetOptions, "lostShare" | "maxDelayMs"> {
    readonly clock: Clock;
    /** Random numbers for messages. */
    readonly random: Random;
    /** Random numbers for requests that are handed on. */
    readonly forwardRandom: Random;
    readonly handlersByHost: ReadonlyMap<HostId, PeerHandlers>;
    readonly runners: ReadonlyMap<HostId, RequestRunner>;
}

/** Time until a lost message between hosts counts as failed, in milliseconds. */
const PEER_TIMEOUT_MS = 200;

/**
 * Creates the paths between the hosts of a fleet.
 *
 * @param options - Faults and hosts
 * @returns the paths
 *
 * @example
 * const peers = createFleetPeers({ ...options, clock, random, forwardRandom, handlersByHost, runners });
 */
export function createFleetPeers(options: FleetPeersOptions): FleetPeers {
    const { clock, random, forwardRandom, handlersByHost, runners } = options;
    const handovers: FleetHandover[] = [];
    return {
        handovers,
        connect: from =>
            ({
                request(to: { readonly host: HostId }, name: string, body: unknown) {
                    const isLost = random.next() < options.lostShare;
                    const delayMs = options.maxDelayMs * random.next();
                    return new Promise((resolve, reject) => {
                        clock.setTimer(PEER_TIMEOUT_MS, () => reject(new Error("no reply")));
                        clock.setTimer(isLost ? Infinity : delayMs, () => {
                            const handle = handlersByHost.get(to.host)?.[name];
                            if (handle !== undefined) {
                                resolve(handle(body as never, from));
                            }
                        });
                    });
                },
            }) as unknown as PeerClient,
        forward: (from, to, request) =>
            new Promise((resolve, reject) => {
                const { requestId, service } = request;
                handovers.push({ from, to, requestId, service: service.name, atMs: clock.nowMs() });
                clock.setTimer(options.maxDelayMs * forwardRandom.next(), () => {
                    const runner = runners.get(to);
                    if (runner === undefined) {
                        reject(new Error("no connection"));
                        return;
                    }
                    runner.run(request).then(resolve, reject);
                });
            }),
    };
}
