import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { EventLog } from "./createEventLog.js";
import { createJsonLog } from "./createJsonLog.js";
import { EVENT_CATALOGUE } from "./eventCatalogue.js";

interface Line {
    readonly event: number;
    readonly message: string;
    readonly id?: string;
    readonly dropped?: number;
    readonly count?: number;
}

let log: EventLog;
let nowMs = 0;
let isOpen = true;
let written: Line[] = [];
let goOn: () => void = () => undefined;

Given(
    "a JSON log of {int} lines a second and {int} waiting lines",
    (linesPerSecond: number, capacity: number) => {
        nowMs = 0;
        isOpen = true;
        written = [];
        const sink = {
            write(text: string) {
                written.push(JSON.parse(text) as Line);
                return isOpen;
            },
            once: (event: "drain", listener: () => void) => void (goOn = listener),
        };
        log = createJsonLog({ process: "front-1", sink, readWallMs: () => nowMs, linesPerSecond, capacity });
    },
);

When(
    "its reader stops and {int} lines of event 406 come in {int} s",
    (count: number, seconds: number) => {
        isOpen = false;
        for (let line = 0; line < count; line += 1) {
            nowMs += seconds * 1000 / count;
            log.write("info", 406, { id: `r${line}` });
        }
    },
);

When("its reader goes on and a line of event 406 comes", () => {
    isOpen = true;
    goOn();
    nowMs += 1000;
    log.write("info", 406, { id: "last" });
});

When("a line of event 400 comes with an id", () => log.write("warn", 400, { id: "r1" }));

When("a warning of event 401 comes", () => log.write("warn", 401, { id: "r1" }));

Then("at most {int} lines wait", (most: number) => {
    const before = written.length;
    isOpen = true;
    goOn();
    ok(written.length - before <= most, `${written.length - before} lines`);
});

Then("lines 107 say how many lines were dropped", () => {
    const told = written.filter(line => line.event === 107).reduce((sum, line) => sum + (line.count ?? 0), 0);
    const routine = written.filter(line => line.event === 406).length;
    ok(told > 900, `${told} told, ${routine} written`);
});

Then("the last line has event 400, its name and the id", () => {
    const line = written.at(-1);
    strictEqual(`${line?.event} ${line?.message} ${line?.id}`, `400 ${EVENT_CATALOGUE[400]} r1`);
});

Then("the last line that waits is event 401", () => {
    isOpen = true;
    goOn();
    strictEqual(written.at(-1)?.event, 401);
});
