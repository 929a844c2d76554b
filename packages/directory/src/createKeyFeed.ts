import type { ClockReading } from "@fulmarcleat/ids";
import { splitRevision } from "./joinRevision.js";
import type { StoreEvent, StoreItem } from "./metadataStore.js";

/** When and how the store confirmed what a feed holds. */
export interface Confirmation {
    /** Clock reading at which the store confirmed it, in milliseconds. */
    readonly atMs: number;
    /** When the call was sent whose reply was the confirmation. */
    readonly from: ClockReading;
}

/** What has changed since a revision. */
export type FeedChanges =
    | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number }
    /** All keys, since the changes after that revision are no longer kept. */
    | { readonly kind: "list"; readonly items: readonly StoreItem[]; readonly revision: number }
    /** Nothing has been read yet. */
    | { readonly kind: "unknown" };

/** Receives the keys below a prefix and their changes. */
export interface FeedListener {
    /**
     * Called with all keys, at the start and after missed changes. `isRestored` says that the store has come back from a
     * copy since the last call: keys may be as they were some time ago, and what was written since may be gone.
     */
    listed(items: readonly StoreItem[], isRestored: boolean): void;
    /** Called with changes; each key's newest one counts. */
    changed(events: readonly StoreEvent[]): void;
}

/** The keys below a prefix with their latest changes, whoever has read them. */
export interface KeyFeed {
    /** Revision up to which all changes are known; undefined before the first list. */
    readonly revision: number | undefined;
    readonly confirmation: Confirmation | undefined;
    /** Takes all keys as of a revision; older ones than known change nothing. */
    takeList(items: readonly StoreItem[], revision: number, confirmation: Confirmation): void;
    /** Takes the changes up to a revision that follow a known one; what is known already is left out. */
    takeEvents(events: readonly StoreEvent[], revision: number, confirmation: Confirmation): void;
    /** Returns what has changed since a revision; all keys if it is undefined. */
    read(afterRevision: number | undefined): FeedChanges;
    /** Resolves at the next change of a key, or when it is cancelled. */
    waitForChange(): { readonly changed: Promise<void>; readonly cancel: () => void };
}

/** Most changes that are kept for those who follow; the oldest is dropped first. */
const MAX_EVENTS = 2048;

/**
 * Creates the feed of a prefix. It never goes back behind a revision that it has taken, so that its sources may be
 * changed at any moment.
 *
 * @param listener - Receives the keys and their changes
 * @returns the feed, empty
 *
 * @example
 * const feed = createKeyFeed(listener);
 * feed.takeList(items, 7, confirmation);
 */
export function createKeyFeed(listener: FeedListener): KeyFeed {
    const items = new Map<string, StoreItem>();
    let revision: number | undefined;
    let confirmation: Confirmation | undefined;
    let events: StoreEvent[] = [];
    /** Revision after which all changes are kept. */
    let keptAfter = 0;
    let waiters: (() => void)[] = [];
    const wake = (): void => {
        const woken = waiters;
        waiters = [];
        woken.forEach(resolve => resolve());
    };
    /** Keeps the later time of each kind: a call that was sent later may have been answered sooner. */
    const confirm = (next: Confirmation): void => {
        const { atMs, from } = confirmation ?? next;
        confirmation = {
            atMs: Math.max(atMs, next.atMs),
            from: next.from.nowMs >= from.nowMs ? next.from : from,
        };
    };
    const applyEvent = (event: StoreEvent): void => {
        if (event.kind === "put") {
            items.set(event.item.key, event.item);
        }
        else {
            items.delete(event.key);
        }
    };
    return {
        get revision() {
            return revision;
        },
        get confirmation() {
            return confirmation;
        },
        takeList(listed, listedAt, next) {
            if (revision !== undefined && listedAt < revision) {
                return;
            }
            const isRestored = revision !== undefined
                && splitRevision(listedAt).epoch > splitRevision(revision).epoch;
            items.clear();
            listed.forEach(item => items.set(item.key, item));
            revision = listedAt;
            events = [];
            keptAfter = listedAt;
            listener.listed(listed, isRestored);
            confirm(next);
            wake();
        },
        takeEvents(received, upTo, next) {
            if (revision === undefined || upTo < revision) {
                return;
            }
            const from = revision;
            const fresh = received.filter(event => readRevision(event) > from);
            fresh.forEach(applyEvent);
            events.push(...fresh);
            if (events.length > MAX_EVENTS) {
                const dropped = events.splice(0, events.length - MAX_EVENTS).at(-1);
                keptAfter = dropped === undefined ? keptAfter : readRevision(dropped);
            }
            revision = upTo;
            if (fresh.length > 0) {
                listener.changed(fresh);
            }
            confirm(next);
            if (fresh.length > 0) {
                wake();
            }
        },
        read(afterRevision) {
            if (revision === undefined) {
                return { kind: "unknown" };
            }
            return afterRevision === undefined || afterRevision < keptAfter
                ? { kind: "list", items: [...items.values()], revision }
                : { kind: "events", events: listNewest(events, afterRevision), revision };
        },
        waitForChange() {
            let resolveWait: () => void = () => undefined;
            const changed = new Promise<void>(resolve => {
                resolveWait = resolve;
                waiters.push(resolve);
            });
            return {
                changed,
                cancel() {
                    waiters = waiters.filter(waiter => waiter !== resolveWait);
                    resolveWait();
                },
            };
        },
    };
}

function readRevision(event: StoreEvent): number {
    return event.kind === "put" ? event.item.revision : event.revision;
}

/** Lists the newest change of each key since a revision, oldest first. */
function listNewest(events: readonly StoreEvent[], afterRevision: number): readonly StoreEvent[] {
    const newest = new Map<string, StoreEvent>();
    for (let at = events.length - 1; at >= 0; at -= 1) {
        const event = events[at];
        if (event === undefined || readRevision(event) <= afterRevision) {
            break;
        }
        const key = event.kind === "put" ? event.item.key : event.key;
        if (!newest.has(key)) {
            newest.set(key, event);
        }
    }
    return [...newest.values()].reverse();
}
