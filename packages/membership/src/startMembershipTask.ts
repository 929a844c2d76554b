import type { HostListDriver } from "@fulmarcleat/drivers";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId, Incarnation } from "@fulmarcleat/ids";
import type { PeerClient, PeerHello } from "@fulmarcleat/wire";
import { applyHello } from "./applyHello.js";
import { markSilent } from "./markSilent.js";
import type { Member } from "./memberView.js";
import { mergeHostList } from "./mergeHostList.js";

/** Settings of the task that knows the other hosts. */
export interface MembershipTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly hostList: HostListDriver;
    readonly peers: PeerClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Time between two words to each peer, in milliseconds. */
    readonly helloMs: number;
    /** Longest silence of a live peer, in milliseconds. */
    readonly silenceMs: number;
    /** This host's word about itself. */
    readonly describeSelf: () => PeerHello;
    /** Called when a host is seen under another incarnation than before. */
    readonly onReplaced: (host: HostId, former: Incarnation) => void;
}

/** The task that knows the other hosts. */
export interface MembershipTask {
    /** Every known host, this one among them once it is listed. */
    readonly members: readonly Member[];
    find(host: HostId): Member | undefined;
    /** Hosts that may own engines: live ones, this one among them. */
    readonly liveHosts: readonly Member[];
    handleHello(hello: PeerHello): PeerHello;
    /** Sends a word to every peer at once. */
    announce(): Promise<void>;
    readonly ready: Promise<void>;
    stop(): void;
}

/**
 * Starts the task that knows the other hosts from the platform's list and from their own words.
 *
 * @param options - Host list, peers and times
 * @returns the task
 *
 * @example
 * const membership = startMembershipTask(options);
 */
export function startMembershipTask(options: MembershipTaskOptions): MembershipTask {
    const { clock, host, peers } = options;
    let members: readonly Member[] = [];
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });
    const take = (hello: PeerHello): void => {
        const former = members.find(member => member.host === hello.host)?.incarnation;
        members = applyHello(members, hello, clock.nowMs());
        if (former !== undefined && former !== hello.incarnation) {
            options.onReplaced(hello.host, former);
        }
    };
    const greet = async (member: Member): Promise<void> => {
        try {
            take(await peers.ask(member, "hello", options.describeSelf(), options.helloMs));
        }
        catch {
            options.metrics.count("hello_failures_total", { peer: member.host });
        }
    };
    const announce = async (): Promise<void> => {
        await Promise.all(members.filter(member => member.host !== host).map(greet));
    };
    const round = async (): Promise<void> => {
        const listed = await options.hostList.list().catch(() => undefined);
        if (listed !== undefined) {
            members = mergeHostList(members, listed, clock.nowMs());
        }
        take(options.describeSelf());
        await announce();
        members = markSilent(members, options.silenceMs, clock.nowMs());
        markReady();
        if (!isStopped) {
            cancel = clock.setTimer(options.helloMs, () => void round());
        }
    };
    void round();
    return {
        get members() {
            return members;
        },
        find: wanted => members.find(member => member.host === wanted),
        get liveHosts() {
            return members.filter(member => member.state === "live");
        },
        handleHello(hello) {
            take(hello);
            return options.describeSelf();
        },
        announce,
        ready,
        stop() {
            isStopped = true;
            cancel();
        },
    };
}
