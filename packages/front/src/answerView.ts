import type { KeyFeed } from "@fulmarcleat/directory";
import { sleep } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";
import type { ViewPart, ViewPartReply, ViewRequest } from "@fulmarcleat/wire";

/** The feeds of the parts of the store that hosts follow. */
export type ViewFeeds = Readonly<Record<ViewPart, KeyFeed>>;

/**
 * Answers a host that follows this one's view of the store, at once if there is something new, else at the next change
 * or after its wait.
 *
 * @param clock - Source of the time
 * @param feeds - What this host knows of the store
 * @param request - Revisions up to which the other host knows all changes, and its wait
 * @returns the changes of each part, with their age
 *
 * @example
 * const parts = await answerView(clock, feeds, request);
 */
export async function answerView(
    clock: Clock,
    feeds: ViewFeeds,
    { parts, waitMs }: ViewRequest,
): Promise<readonly ViewPartReply[]> {
    const read = (): readonly ViewPartReply[] =>
        parts.map(({ part, afterRevision }) => readPart(clock, feeds[part], part, afterRevision));
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

function readPart(clock: Clock, feed: KeyFeed, part: ViewPart, afterRevision: number | undefined): ViewPartReply {
    const { confirmation } = feed;
    const changes = feed.read(afterRevision);
    if (changes.kind === "unknown" || confirmation === undefined) {
        return { part, kind: "unknown" };
    }
    const age = {
        revision: changes.revision,
        confirmedAgoMs: clock.nowMs() - confirmation.atMs,
        sentAgoMs: Math.max(clock.nowMs() - confirmation.from.nowMs, clock.wallMs() - confirmation.from.wallMs),
    };
    return changes.kind === "events"
        ? { part, kind: "events", events: changes.events, age }
        : { part, kind: "list", items: changes.items, age };
}
