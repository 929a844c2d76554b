import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { choosePage, PAGE_COUNT } from "./choosePage.js";

Then(
    "choosePage distributes {int} names over all pages, each with less than twice the mean",
    (count: number) => {
        const sizes = new Map<number, number>();
        for (let at = 0; at < count; at += 1) {
            const page = choosePage(`arcade-${at}`);
            sizes.set(page, (sizes.get(page) ?? 0) + 1);
        }
        strictEqual(sizes.size, PAGE_COUNT);
        ok(Math.max(...sizes.values()) < 2 * count / PAGE_COUNT);
    },
);
