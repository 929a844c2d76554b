import type { HostListDriver } from "@fulmarcleat/drivers";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId, Incarnation } from "@fulmarcleat/ids";
import type { PeerClient, PeerHello } from "@fulmarcleat/wire";
import { applyHello } from "./applyHello.js";
import { markUnresponsive } from "./markUnresponsive.js";
import type { Member } from "./memberView.js";
import { mergeHostList } from "./mergeHostList.js";

/** Options of the membership task. */
export interface MembershipTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly hostList: HostListDriver;
    readonly peers: PeerClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Interval between two hello messages to each peer, in milliseconds. */
    readonly helloMs: number;
    /** Time without a hello message after which a live peer counts as unresponsive, in milliseconds. */
    readonly silenceMs: number;
    /** Creates the hello message of this host. */
    readonly describeSelf: () => PeerHello;
    /** Called when a host's incarnation has changed, which means that its process was replaced. */
    readonly onReplaced: (host: HostId, previous: Incarnation) => void;
}

/** Background task that tracks the other hosts. */
export interface MembershipTask {
    /** All known hosts, including this one once it is listed. */
    readonly members: readonly Member[];
    find(host: HostId): Member | undefined;
    /** Hosts that may own engines: the live ones, including this one. */
    readonly liveHosts: readonly Member[];
    /** Applies a peer's hello message and returns this host's own. */
    handleHello(hello: PeerHello): PeerHello;
    /** Sends a hello message to all peers concurrently. */
    announce(): Promise<void>;
    /** Resolves once the first round has ended. */
    readonly ready: Promise<void>;
    stop(): void;
}

/**
 * Starts the task that tracks the other hosts from the platform's list and their hello messages.
 *
 * @param options - Host list, peer client, clock and intervals
 * @returns the running task
 *
 * @example
 * const membership = startMembershipTask(options);
 */
export function startMembershipTask(options: MembershipTaskOptions): MembershipTask {
    const { clock, host, peers } = options;
    let members: readonly Member[] = [];
    let isStopped = false;
    let cancelTimer: CancelTimer = () => undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });
    const recordHello = (hello: PeerHello): void => {
        const previous = members.find(member => member.host === hello.host)?.incarnation;
        members = applyHello(members, hello, clock.nowMs());
        if (previous !== undefined && previous !== hello.incarnation) {
            options.onReplaced(hello.host, previous);
        }
    };
    const sendHello = async (member: Member): Promise<void> => {
        try {
            recordHello(await peers.request(member, "hello", options.describeSelf(), options.helloMs));
        }
        catch {
            options.metrics.count("hello_failures_total", { peer: member.host });
        }
    };
    const announce = async (): Promise<void> => {
        await Promise.all(members.filter(member => member.host !== host).map(sendHello));
    };
    const runRound = async (): Promise<void> => {
        const listed = await options.hostList.list().catch(() => undefined);
        if (listed !== undefined) {
            members = mergeHostList(members, listed, clock.nowMs());
        }
        recordHello(options.describeSelf());
        await announce();
        members = markUnresponsive(members, options.silenceMs, clock.nowMs());
        markReady();
        if (!isStopped) {
            cancelTimer = clock.setTimer(options.helloMs, () => void runRound());
        }
    };
    void runRound();
    return {
        get members() {
            return members;
        },
        find: hostId => members.find(member => member.host === hostId),
        get liveHosts() {
            return members.filter(member => member.state === "live");
        },
        handleHello(hello) {
            recordHello(hello);
            return options.describeSelf();
        },
        announce,
        ready,
        stop() {
            isStopped = true;
            cancelTimer();
        },
    };
}
