import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { chooseWatchGap } from "./chooseWatchGap.js";

Then(
    "the pause of a watch with {int} hosts is {int} ms, and at most {int} calls a second come from all",
    (hosts: number, gapMs: number, calls: number) => {
        const chosenMs = chooseWatchGap(hosts, 350, 18);
        strictEqual(chosenMs, gapMs);
        ok(hosts * 1000 / chosenMs <= calls, `${hosts * 1000 / chosenMs} calls`);
    },
);
