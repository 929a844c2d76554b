import { deepStrictEqual, Then } from "@fulmarcleat/testing";
import { createReturnSlots } from "./createReturnSlots.js";

Then(
    "{int} requests of {int} tokens refused for {int} ms at {int} tokens a second return after {int} to {int} ms, {int} ms apart",
    (count: number, cost: number, readyInMs: number, perSecond: number, from: number, to: number, gap: number) => {
        const slots = createReturnSlots();
        const times = Array.from({ length: count }, () => slots.book(cost, readyInMs, perSecond, 0));
        deepStrictEqual(times, [...times.keys()].map(index => from + (index * gap) % (to - from + gap)));
    },
);
