import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { createReturnTimes } from "./createReturnTimes.js";

let returnsMs: readonly number[] = [];

Then(
    "clients of the priorities {string} that are refused at 0 ms, with engines that open at {int} ms, return after {string}",
    (priorities: string, opensAtMs: number, expected: string) => {
        strictEqual(bookAll(priorities.split(" ").map(Number), opensAtMs).join(" "), expected);
    },
);

Then(
    "{int} clients of {int} priorities that are refused at 0 ms, with engines that open at {int} ms, return between {int} and {int} ms",
    (count: number, priorities: number, opensAtMs: number, fromMs: number, toMs: number) => {
        returnsMs = bookAll([...Array(count).keys()].map(number => number % priorities), opensAtMs);
        ok(returnsMs.every(atMs => atMs >= fromMs && atMs <= toMs));
    },
);

Then("at most {int} of them return in one moment", (most: number) => {
    const counts = new Map<number, number>();
    returnsMs.forEach(atMs => counts.set(atMs, (counts.get(atMs) ?? 0) + 1));
    ok(Math.max(...counts.values()) <= most, `${Math.max(...counts.values())}`);
});

function bookAll(priorities: readonly number[], opensAtMs: number): readonly number[] {
    const returnTimes = createReturnTimes();
    return priorities.map(priority => returnTimes.book({ priority, opensAtMs, atMs: 0 }));
}
