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
let isWritable = true;
let written: Line[] = [];
let triggerDrain: () => void = () => undefined;

Given(
    "a JSON log with a limit of {int} lines a second and {int} buffered lines",
    (linesPerSecond: number, capacity: number) => {
        nowMs = 0;
        isWritable = true;
        written = [];
        const sink = {
            write(text: string) {
                written.push(JSON.parse(text) as Line);
                return isWritable;
            },
            once: (event: "drain", listener: () => void) => void (triggerDrain = listener),
        };
        log = createJsonLog({ process: "front-1", sink, readWallMs: () => nowMs, linesPerSecond, capacity });
    },
);

When(
    "its reader stops and {int} lines of event 406 are logged in {int} s",
    (count: number, seconds: number) => {
        isWritable = false;
        for (let line = 0; line < count; line += 1) {
            nowMs += seconds * 1000 / count;
            log.write("info", 406, { id: `r${line}` });
        }
    },
);

When("its reader resumes and a line of event 406 is logged", () => {
    isWritable = true;
    triggerDrain();
    nowMs += 1000;
    log.write("info", 406, { id: "last" });
});

When("a line of event 400 is logged with an id", () => log.write("warn", 400, { id: "r1" }));

When("a warning of event 401 is logged", () => log.write("warn", 401, { id: "r1" }));

Then("at most {int} lines are buffered", (limit: number) => {
    const before = written.length;
    isWritable = true;
    triggerDrain();
    ok(written.length - before <= limit, `${written.length - before} lines`);
});

Then("lines of event 107 report how many lines were dropped", () => {
    const droppedCount = written.filter(line => line.event === 107).reduce((sum, line) => sum + (line.count ?? 0), 0);
    const writtenCount = written.filter(line => line.event === 406).length;
    ok(droppedCount > 900, `${droppedCount} reported as dropped, ${writtenCount} written`);
});

Then("the last line has event 400, its message and the id", () => {
    const line = written.at(-1);
    strictEqual(`${line?.event} ${line?.message} ${line?.id}`, `400 ${EVENT_CATALOGUE[400]} r1`);
});

Then("the last buffered line is event 401", () => {
    isWritable = true;
    triggerDrain();
    strictEqual(written.at(-1)?.event, 401);
});
