import { joinRevision, splitRevision } from "@fulmarcleat/directory";
import type { StoreEvent, StoreItem, ViewAges } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { ClockReading, HostId } from "@fulmarcleat/ids";
import type { PeerClient, ViewPart, ViewPartReply, ViewReply } from "@fulmarcleat/wire";
import type { ViewFeeds } from "./answerView.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";

/** Follows the view of another host instead of the store. */
export interface ViewFollower {
    /** Whether what this host follows is young enough that it need not read the part from the store itself. */
    isFollowing(part: ViewPart): boolean;
    /** Whether the part has changed by more than another host hands on, so that it must be read from the store. */
    isLarge(part: ViewPart): boolean;
    stop(): void;
}

/** Settings of a follower. */
export interface ViewFollowerOptions {
    readonly feeds: ViewFeeds;
    /** Returns the hosts to follow, the preferred one first; none if this host reads the store itself. */
    readonly listSources: () => readonly Member[];
    /** Returns the hosts to ask while the store doesn't answer this one, the preferred one first; none while it does. */
    readonly listHelpers: () => readonly Member[];
    /** Returns the most bytes of the operator's keys to take from another host; undefined if the store can't be read. */
    readonly readMaxBytes: () => number | undefined;
    /** Returns the client for requests to other hosts; undefined until it is connected. */
    readonly readPeers: () => Pick<PeerClient, "request"> | undefined;
    readonly readAges: () => ViewAges;
    /** Called with the time since the store answered the followed host again after an outage, in milliseconds. */
    readonly onStoreReturned: (agoMs: number) => void;
}

/** Longest wait of a request at the followed host, in milliseconds. */
const POLL_WAIT_MS = 500;
/** Time beyond that wait after which the followed host counts as silent, in milliseconds. */
export const VIEW_REPLY_MS = 300;
/** The same at a helper, in milliseconds: a value of the store's largest size takes longer over a slow link. */
const HELPER_REPLY_MS = 1500;
/** Shortest time between two requests, in milliseconds; changes in between arrive together. */
const POLL_INTERVAL_MS = 200;
/** Time for which a host that did not reply, or whose view was too old, is not followed, in milliseconds. */
const FAILED_MS = 2000;
/** Interval between two looks for a host to follow while there is none, in milliseconds. */
const NO_SOURCE_INTERVAL_MS = 200;
/** Interval between requests to hosts whose views were no younger, in milliseconds; it bounds them during an outage. */
const HELPER_INTERVAL_MS = 500;

const PARTS = ["config", "engines", "hosts"] as const;

/** A host whose view is asked for. */
interface Candidate {
    readonly member: Member;
    /** A source is followed instead of the store, a helper while the store doesn't answer. */
    readonly kind: "source" | "helper";
}

/**
 * Follows the view that another host has of the store. If that host falls silent or its view grows too old, the next one
 * is followed; if none is left, this host reads the store itself until one replies again. While the store doesn't answer
 * it either, it learns from any host that the store has answered lately, and goes on calling the store.
 *
 * @param context - Clock, metrics and log
 * @param options - Feeds, hosts to follow and the ages that are allowed
 * @returns the running follower
 *
 * @example
 * const follower = startViewFollower(context, { feeds, listSources, listHelpers, readMaxBytes, ...callbacks });
 */
export function startViewFollower(
    { clock, log, metrics }: Pick<FrontContext, "clock" | "log" | "metrics">,
    { feeds, listSources, listHelpers, readMaxBytes, readPeers, readAges, onStoreReturned }: ViewFollowerOptions,
): ViewFollower {
    const failedMs = new Map<HostId, number>();
    let source: HostId | undefined;
    let sourceKind: Candidate["kind"] = "source";
    let repliedMs = -Infinity;
    let isStopped = false;

    const isYoung = (): boolean =>
        PARTS.every(part => clock.nowMs() - (feeds[part].confirmation?.atMs ?? -Infinity) <= readAges().maxFollowedMs);
    /** Revisions of parts that were too large to be handed on, to be read from the store. */
    const largeRevisions = new Map<ViewPart, number>();
    const isLarge = (part: ViewPart): boolean => (feeds[part].revision ?? 0) < (largeRevisions.get(part) ?? 0);
    const isFollowing = (part: ViewPart): boolean =>
        !isLarge(part) && source !== undefined && sourceKind === "source"
        && clock.nowMs() - repliedMs <= POLL_WAIT_MS + VIEW_REPLY_MS + POLL_INTERVAL_MS && isYoung();
    const follow = (host: HostId | undefined, reason: string, kind: Candidate["kind"] = "source"): void => {
        if (host !== source || kind !== sourceKind) {
            log.write("info", 205, { peer: host, former: source, reason, kind });
            source = host;
            sourceKind = kind;
        }
    };
    const take = (reply: ViewPartReply, sent: ClockReading): void => {
        if (reply.kind === "unknown") {
            return;
        }
        const { epoch = 0, confirmedAgoMs, sentAgoMs } = reply.age;
        const revision = joinRevision({ epoch, revision: reply.age.revision });
        if (reply.kind === "large") {
            if ((largeRevisions.get(reply.part) ?? 0) < revision) {
                largeRevisions.set(reply.part, revision);
                metrics.count("view_large_parts_total", { part: reply.part });
            }
            return;
        }
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
    const ask = async ({ member, kind }: Candidate): Promise<ViewReply | undefined> => {
        // A helper whose view may be old is asked for what it knows now, so that the next one is asked soon.
        const waitMs = kind === "source" || member.host === source ? POLL_WAIT_MS : 0;
        const replyMs = kind === "source" ? VIEW_REPLY_MS : HELPER_REPLY_MS;
        const address = { host: member.host, address: member.ip, port: member.port };
        const parts = PARTS.map(part => {
            const known = feeds[part].revision;
            const { epoch, revision } = splitRevision(known ?? 0);
            return { part, epoch, afterRevision: known === undefined ? undefined : revision };
        });
        try {
            const request = { parts, waitMs, maxBytes: readMaxBytes() };
            return await readPeers()?.request(address, "view", request, waitMs + replyMs);
        }
        catch (err) {
            metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
            return undefined;
        }
    };
    const poll = async (candidate: Candidate): Promise<void> => {
        const { member, kind } = candidate;
        const sent = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
        const reply = await ask(candidate);
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
        if (kind === "helper") {
            metrics.count("view_helper_replies_total", {});
        }
        const maxAgeMs = kind === "source" ? readAges().maxFollowedMs : readAges().maxHelperMs;
        if (reply.parts.every(part => part.kind !== "unknown" && part.age.confirmedAgoMs <= maxAgeMs)) {
            repliedMs = clock.nowMs();
            follow(member.host, kind === "source" ? "its view is young" : "the store does not answer", kind);
        }
        else {
            failedMs.set(member.host, clock.nowMs());
            follow(undefined, "its view is old");
        }
    };
    const choose = (): Candidate | undefined => {
        const nowMs = clock.nowMs();
        const readFailedMs = ({ host }: Member): number => failedMs.get(host) ?? -Infinity;
        const mayAsk = (member: Member): boolean => nowMs - readFailedMs(member) >= FAILED_MS;
        const followed = listSources().find(mayAsk);
        if (followed !== undefined) {
            return { member: followed, kind: "source" };
        }
        // Those that could not help are asked again only after all others.
        const helpers = listHelpers().filter(mayAsk).sort((a, b) => compare(readFailedMs(a), readFailedMs(b)));
        const helper = helpers.find(({ host }) => host === source) ?? helpers[0];
        return helper === undefined ? undefined : { member: helper, kind: "helper" };
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            const startedMs = clock.nowMs();
            const candidate = choose();
            if (candidate === undefined) {
                follow(undefined, "no host to follow");
                await sleep(clock, NO_SOURCE_INTERVAL_MS);
                continue;
            }
            const { host } = candidate.member;
            try {
                await poll(candidate);
            }
            catch (err) {
                // What a source sends may be unusable; another one is followed meanwhile.
                log.write("error", 110, { step: INTERNAL.step, name: host, reason: String(err) });
                failedMs.set(host, clock.nowMs());
                follow(undefined, "its reply is unusable");
            }
            const intervalMs = candidate.kind === "helper" && host !== source ? HELPER_INTERVAL_MS : POLL_INTERVAL_MS;
            await sleep(clock, Math.max(0, intervalMs - (clock.nowMs() - startedMs)));
        }
    };
    void run();
    return { isFollowing, isLarge, stop: () => void (isStopped = true) };
}

const INTERNAL = { code: "internal", step: "follow view", peer: "self", outcome: "not_run" } as const;

/** Orders numbers, infinite ones too. */
function compare(a: number, b: number): number {
    return a === b ? 0 : a < b ? -1 : 1;
}

/** Restores an item's joined revision, and its value, which arrives as bytes of the frame that it was read from. */
function toItem(item: StoreItem, epoch: number): StoreItem {
    return { ...item, revision: joinRevision({ epoch, revision: item.revision }), value: Buffer.from(item.value) };
}

function toEvent(event: StoreEvent, epoch: number): StoreEvent {
    return event.kind === "put"
        ? { kind: "put", item: toItem(event.item, epoch) }
        : { ...event, revision: joinRevision({ epoch, revision: event.revision }) };
}
