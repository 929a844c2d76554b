import { ServeError } from "@fulmarcleat/errors";
import type { EventNumber } from "@fulmarcleat/events";
import { createManualClock } from "@fulmarcleat/ids";
import type { ManualClock } from "@fulmarcleat/ids";
import type { Deployment } from "@fulmarcleat/platform";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { watchSettings } from "./watchSettings.js";

let clock: ManualClock;
let settings: { current: Deployment };
let events: EventNumber[] = [];
let readNext: () => Promise<Deployment>;

Given("settings with a stop limit of {int} ms", (stopMs: number) => {
    clock = createManualClock(0);
    settings = { current: createDeployment(stopMs) };
    events = [];
    readNext = () => Promise.resolve(createDeployment(stopMs));
    const log = { write: (level: string, event: EventNumber) => void events.push(event) };
    watchSettings({ clock, log }, settings, () => readNext());
});

When(/^the settings file (.*) (and SIGHUP arrives|and 11 s pass)$/, async (change: string, how: string) => {
    const stopMs = /limit of (\d+)/.exec(change)?.[1];
    if (stopMs !== undefined) {
        readNext = () => Promise.resolve(createDeployment(Number(stopMs)));
    }
    if (change === "lacks the host name") {
        const details = { code: "settings_invalid", step: "read", peer: "file", outcome: "not_run" } as const;
        readNext = () => Promise.reject(new ServeError("node: missing", details));
    }
    if (how === "and SIGHUP arrives") {
        process.emit("SIGHUP");
    }
    else {
        clock.advance(11_000);
    }
    await new Promise(resolve => setImmediate(resolve));
});

Then(
    "the stop limit is {int} ms and event {int} is logged {int} time",
    (stopMs: number, event: number, times: number) => {
        strictEqual(settings.current.bounds.stopMs, stopMs);
        strictEqual(events.filter(written => written === event).length, times);
    },
);

function createDeployment(stopMs: number): Deployment {
    return { bounds: { stopMs } } as Deployment;
}
