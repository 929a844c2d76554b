import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createKeyFeed } from "./createKeyFeed.js";
import type { Confirmation, KeyFeed } from "./createKeyFeed.js";
import { joinRevision, splitRevision } from "./joinRevision.js";
import type { StoreEvent, StoreItem } from "./metadataStore.js";

const CONFIRMATION: Confirmation = { atMs: 0, from: { nowMs: 0, wallMs: 0 } };

let feed: KeyFeed;
let seen: Map<string, string>;

Given(/^a feed that has taken the list "(.*)" to (\S+)$/, (list: string, revision: string) => {
    seen = new Map();
    feed = createKeyFeed({
        listed(items) {
            seen = new Map(items.map(item => [item.key, formatItem(item)]));
        },
        changed: events =>
            events.forEach(event =>
                event.kind === "put" ? seen.set(event.item.key, formatItem(event.item)) : seen.delete(event.key)
            ),
    });
    feed.takeList(parseItems(list), parseRevision(revision), CONFIRMATION);
});

When(/^it takes the changes "(.*)" to (\S+)$/, (changes: string, revision: string) => {
    feed.takeEvents(changes.split(" ").map(parseEvent), parseRevision(revision), CONFIRMATION);
});

When(/^it takes the list "(.*)" to (\S+)$/, (list: string, revision: string) => {
    feed.takeList(parseItems(list), parseRevision(revision), CONFIRMATION);
});

When("it takes {int} changes of key {string} one by one", (count: number, key: string) => {
    for (let revision = 2; revision <= count + 1; revision += 1) {
        feed.takeEvents([parseEvent(`${key}=${revision}@${revision}`)], revision, CONFIRMATION);
    }
});

Then(/^it holds "(.*)" to (\S+), and its listener has seen the same$/, (held: string, revision: string) => {
    const changes = feed.read(undefined);
    strictEqual(changes.kind, "list");
    strictEqual(feed.revision, parseRevision(revision));
    deepStrictEqual(changes.kind === "list" ? changes.items.map(formatItem).sort() : [], held.split(" ").sort());
    deepStrictEqual([...seen.values()].sort(), held.split(" ").sort());
});

Then(
    /^a follower that knows all changes up to (-?\S+) gets (nothing|the list|".*")$/,
    (known: string, news: string) => {
        const changes = feed.read(known.startsWith("-") ? undefined : parseRevision(known));
        if (news === "the list") {
            strictEqual(changes.kind, "list");
            return;
        }
        strictEqual(changes.kind, "events");
        const events = changes.kind === "events" ? changes.events.map(formatEvent) : [];
        deepStrictEqual(events, news === "nothing" ? [] : news.slice(1, -1).split(" "));
    },
);

function parseItems(text: string): readonly StoreItem[] {
    return text.split(" ").map(parseEvent).flatMap(event => event.kind === "put" ? [event.item] : []);
}

function parseEvent(text: string): StoreEvent {
    const [, removed, key = "", value = "", revision = ""] = /^(-?)(\w+)(?:=(\d+))?@(\S+)$/.exec(text) ?? [];
    return removed === "-"
        ? { kind: "removed", key, revision: parseRevision(revision) }
        : { kind: "put", item: { key, value: Buffer.from(value), revision: parseRevision(revision), lease: 0 } };
}

function formatItem({ key, value, revision }: StoreItem): string {
    return `${key}=${value.toString()}@${formatRevision(revision)}`;
}

function formatEvent(event: StoreEvent): string {
    return event.kind === "put" ? formatItem(event.item) : `-${event.key}@${formatRevision(event.revision)}`;
}

/** Parses a revision, after its epoch and a colon unless that is 0. */
function parseRevision(text: string): number {
    const [revision, epoch = "0"] = text.split(":").reverse();
    return joinRevision({ epoch: Number(epoch), revision: Number(revision) });
}

function formatRevision(joined: number): string {
    const { epoch, revision } = splitRevision(joined);
    return epoch === 0 ? String(revision) : `${epoch}:${revision}`;
}
