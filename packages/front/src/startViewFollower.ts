import { joinRevision, splitRevision } from "@fulmarcleat/directory";
import type { StoreEvent, StoreItem, ViewAges } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { ClockReading, HostId } from "@fulmarcleat/ids";
import type { PeerClient, ViewPartReply, ViewReply } from "@fulmarcleat/wire";
import type { ViewFeeds } from "./answerView.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";

/** Follows the view of another host instead of the store. */
export interface ViewFollower {
    /** Whether what this host follows is young enough that it need not read the store itself. */
    isFollowing(): boolean;
    stop(): void;
}

/** Settings of a follower. */
export interface ViewFollowerOptions {
    readonly feeds: ViewFeeds;
    /** Returns the hosts to follow, the preferred one first; none if this host reads the store itself. */
    readonly listSources: () => readonly Member[];
    /** Returns the client for requests to other hosts; undefined until it is connected. */
    readonly readPeers: () => Pick<PeerClient, "request"> | undefined;
    readonly readAges: () => ViewAges;
    /** Called with the time since the store answered the followed host again after an outage, in milliseconds. */
    readonly onStoreReturned: (agoMs: number) => void;
}

/** Longest wait of a request at the followed host, in milliseconds. */
const POLL_WAIT_MS = 500;
/** Time beyond that wait after which the followed host counts as silent, in milliseconds. */
const REPLY_MS = 300;
/** Shortest time between two requests, in milliseconds; changes in between arrive together. */
const POLL_INTERVAL_MS = 200;
/** Time for which a host that did not reply, or whose view was too old, is not followed, in milliseconds. */
const FAILED_MS = 2000;
/** Interval between two looks for a host to follow while there is none, in milliseconds. */
const NO_SOURCE_INTERVAL_MS = 200;

const PARTS = ["config", "engines", "hosts"] as const;

/**
 * Follows the view that another host has of the store. If that host falls silent or its view grows too old, the next one
 * is followed; if none is left, this host reads the store itself until one replies again.
 *
 * @param context - Clock, metrics and log
 * @param options - Feeds, hosts to follow and the ages that are allowed
 * @returns the running follower
 *
 * @example
 * const follower = startViewFollower(context, { feeds, listSources, readPeers, readAges, onStoreReturned });
 */
export function startViewFollower(
    { clock, log, metrics }: Pick<FrontContext, "clock" | "log" | "metrics">,
    { feeds, listSources, readPeers, readAges, onStoreReturned }: ViewFollowerOptions,
): ViewFollower {
    const failedMs = new Map<HostId, number>();
    let source: HostId | undefined;
    let repliedMs = -Infinity;
    let isStopped = false;

    const isYoung = (): boolean =>
        PARTS.every(part => clock.nowMs() - (feeds[part].confirmation?.atMs ?? -Infinity) <= readAges().maxFollowedMs);
    const isFollowing = (): boolean =>
        source !== undefined && clock.nowMs() - repliedMs <= POLL_WAIT_MS + REPLY_MS + POLL_INTERVAL_MS && isYoung();
    const follow = (host: HostId | undefined, reason: string): void => {
        if (host !== source) {
            log.write("info", 205, { peer: host, former: source, reason });
            source = host;
        }
    };
    const take = (reply: ViewPartReply, sent: ClockReading): void => {
        if (reply.kind === "unknown") {
            return;
        }
        const { epoch = 0, confirmedAgoMs, sentAgoMs } = reply.age;
        const revision = joinRevision({ epoch, revision: reply.age.revision });
        const confirmation = {
            atMs: clock.nowMs() - confirmedAgoMs,
            // The other host has read its clock at some time since the request was sent.
            from: { nowMs: sent.nowMs - sentAgoMs, wallMs: sent.wallMs - sentAgoMs },
        };
        if (reply.kind === "list") {
            feeds[reply.part].takeList(reply.items.map(item => toItem(item, epoch)), revision, confirmation);
        }
        else {
            feeds[reply.part].takeEvents(reply.events.map(event => toEvent(event, epoch)), revision, confirmation);
        }
    };
    const ask = async (member: Member): Promise<ViewReply | undefined> => {
        const address = { host: member.host, address: member.ip, port: member.port };
        const parts = PARTS.map(part => {
            const known = feeds[part].revision;
            const { epoch, revision } = splitRevision(known ?? 0);
            return { part, epoch, afterRevision: known === undefined ? undefined : revision };
        });
        try {
            const request = { parts, waitMs: POLL_WAIT_MS };
            return await readPeers()?.request(address, "view", request, POLL_WAIT_MS + REPLY_MS);
        }
        catch (err) {
            metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
            return undefined;
        }
    };
    const poll = async (member: Member): Promise<void> => {
        const sent = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
        const reply = await ask(member);
        if (reply === undefined) {
            failedMs.set(member.host, clock.nowMs());
            follow(undefined, "no reply");
            return;
        }
        if (reply.storeReturnedAgoMs !== undefined) {
            onStoreReturned(reply.storeReturnedAgoMs);
        }
        reply.parts.forEach(part => take(part, sent));
        metrics.count("view_replies_total", {});
        const { maxFollowedMs } = readAges();
        if (reply.parts.every(part => part.kind !== "unknown" && part.age.confirmedAgoMs <= maxFollowedMs)) {
            repliedMs = clock.nowMs();
            follow(member.host, "its view is young");
        }
        else {
            failedMs.set(member.host, clock.nowMs());
            follow(undefined, "its view is old");
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            const startedMs = clock.nowMs();
            const member = listSources().find(({ host }) => startedMs - (failedMs.get(host) ?? -Infinity) >= FAILED_MS);
            if (member === undefined) {
                follow(undefined, "no host to follow");
                await sleep(clock, NO_SOURCE_INTERVAL_MS);
                continue;
            }
            try {
                await poll(member);
            }
            catch (err) {
                // What a source sends may be unusable; another one is followed meanwhile.
                log.write("error", 110, { step: INTERNAL.step, name: member.host, reason: String(err) });
                failedMs.set(member.host, clock.nowMs());
                follow(undefined, "its reply is unusable");
            }
            await sleep(clock, Math.max(0, POLL_INTERVAL_MS - (clock.nowMs() - startedMs)));
        }
    };
    void run();
    return { isFollowing, stop: () => void (isStopped = true) };
}

const INTERNAL = { code: "internal", step: "follow view", peer: "self", outcome: "not_run" } as const;

/** Restores an item's joined revision, and its value, which arrives as bytes of the frame that it was read from. */
function toItem(item: StoreItem, epoch: number): StoreItem {
    return { ...item, revision: joinRevision({ epoch, revision: item.revision }), value: Buffer.from(item.value) };
}

function toEvent(event: StoreEvent, epoch: number): StoreEvent {
    return event.kind === "put"
        ? { kind: "put", item: toItem(event.item, epoch) }
        : { ...event, revision: joinRevision({ epoch, revision: event.revision }) };
}
