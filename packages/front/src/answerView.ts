import { joinRevision, splitRevision } from "@fulmarcleat/directory";
import type { KeyFeed, StoreEvent, StoreItem } from "@fulmarcleat/directory";
import { sleep } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";
import type { ViewPart, ViewPartReply, ViewRequest } from "@fulmarcleat/wire";

/** The feeds of the parts of the store that hosts follow. */
export type ViewFeeds = Readonly<Record<ViewPart, KeyFeed>>;

/** The part whose values may be large; those of the others are small, urgent and many. */
const LARGE_PART: ViewPart = "config";

/**
 * Answers a host that follows this one's view of the store, at once if there is something new, else at the next change
 * or after its wait.
 *
 * @param clock - Source of the time
 * @param feeds - What this host knows of the store
 * @param request - Revisions up to which the other host knows all changes, with their epochs, its wait and its limit
 * @param maxBytes - Most bytes of the operator's keys that this host's link carries to a host that can read the store
 * @returns the changes of each part, with their age
 *
 * @example
 * const parts = await answerView(clock, feeds, request);
 */
export async function answerView(
    clock: Clock,
    feeds: ViewFeeds,
    { parts, waitMs, maxBytes: askedBytes }: ViewRequest,
    maxBytes = Infinity,
): Promise<readonly ViewPartReply[]> {
    const limit = askedBytes === undefined ? Infinity : Math.min(askedBytes, maxBytes);
    const read = (): readonly ViewPartReply[] =>
        parts.map(({ part, ...known }) =>
            limitReply(readPart(clock, feeds[part], part, known), part === LARGE_PART ? limit : Infinity)
        );
    const first = read();
    if (first.some(hasNews) || waitMs <= 0) {
        return first;
    }
    const waits = parts.map(({ part }) => feeds[part].waitForChange());
    await Promise.race([sleep(clock, waitMs), ...waits.map(wait => wait.changed)]);
    waits.forEach(wait => wait.cancel());
    return read();
}

function hasNews(reply: ViewPartReply): boolean {
    return reply.kind !== "events" || reply.events.length > 0;
}

function readPart(
    clock: Clock,
    feed: KeyFeed,
    part: ViewPart,
    { afterRevision, epoch }: Omit<ViewRequest["parts"][number], "part">,
): ViewPartReply {
    const { confirmation } = feed;
    const own = splitRevision(feed.revision ?? 0);
    const after = afterRevision === undefined
        ? undefined
        : joinRevision({ epoch: epoch ?? own.epoch, revision: afterRevision });
    const changes = feed.read(after);
    if (changes.kind === "unknown" || confirmation === undefined) {
        return { part, kind: "unknown" };
    }
    const age = {
        ...own,
        confirmedAgoMs: clock.nowMs() - confirmation.atMs,
        sentAgoMs: Math.max(clock.nowMs() - confirmation.from.nowMs, clock.wallMs() - confirmation.from.wallMs),
    };
    return changes.kind === "events"
        ? { part, kind: "events", events: changes.events.map(splitEvent), age }
        : { part, kind: "list", items: changes.items.map(splitItem), age };
}

/** Leaves out values that would keep the links busy for too long. */
function limitReply(reply: ViewPartReply, maxBytes: number): ViewPartReply {
    switch (reply.kind) {
        case "events":
            return sumBytes(reply.events.map(event => event.kind === "put" ? event.item : undefined)) <= maxBytes
                ? reply
                : { part: reply.part, kind: "large", age: reply.age };
        case "list":
            return sumBytes(reply.items) <= maxBytes ? reply : { part: reply.part, kind: "large", age: reply.age };
        case "large":
        case "unknown":
            return reply;
    }
}

function sumBytes(items: readonly (StoreItem | undefined)[]): number {
    return items.reduce((sum, item) => sum + (item?.value.length ?? 0), 0);
}

/** Gives an item the revision that the store counts, for hosts whose version knows no epochs. */
function splitItem(item: StoreItem): StoreItem {
    return { ...item, revision: splitRevision(item.revision).revision };
}

function splitEvent(event: StoreEvent): StoreEvent {
    return event.kind === "put"
        ? { kind: "put", item: splitItem(event.item) }
        : { ...event, revision: splitRevision(event.revision).revision };
}
