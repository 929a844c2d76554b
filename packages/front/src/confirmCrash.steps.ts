import type { EngineEntry, EngineProbe } from "@fulmarcleat/directory";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, sleep } from "@fulmarcleat/ids";
import type { EngineId, HostId, ManualClock, Suspect } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import { createQuarantine } from "./createQuarantine.js";
import type { Quarantine } from "./createQuarantine.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";

/** What the host has logged of an engine's end. */
interface LoggedEnd {
    readonly event: number;
    readonly probe: string | undefined;
    readonly prompts: string | undefined;
}

/** Step of the manual clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 5;
/** Clock reading at the break, in milliseconds. */
const BREAK_MS = 10_000;
/** Time for a reply of the engine or of other hosts, in milliseconds. */
const REPLY_MS = 5;
const ENTRY = { id: brandId<EngineId>("i-1"), address: { ip: "127.0.0.1", port: 1 }, bornMs: 1 } as EngineEntry;
/** The platform's events: a crash was reported, and an engine has not crashed. */
const CRASH_EVENT = 410;
const BREAK_EVENT = 413;

let clock: ManualClock;
let quarantine: Quarantine;
let ends: LoggedEnd[];
let counted: string[];

Given(
    /^a host that finds an engine (\w+), from which others have had bytes (.*)$/,
    async (probe: EngineProbe, bytes: string) => {
        clock = createManualClock(BREAK_MS);
        ends = [];
        counted = [];
        const bytesAtMs = readBytesAtMs(bytes);
        const log = {
            write(level: string, event: number, details: { readonly probe?: string; readonly prompts?: string }) {
                if (event === CRASH_EVENT || event === BREAK_EVENT) {
                    ends.push({ event, probe: details.probe, prompts: details.prompts });
                }
            },
        };
        const context = {
            clock,
            control: {
                async probe() {
                    await sleep(clock, REPLY_MS);
                    return probe;
                },
            },
            deployment: { host: brandId<HostId>("host-1") },
            hash: await createHasher(),
            log,
            metrics: {
                count(name: string, labels?: { readonly probe?: string }) {
                    counted.push([name, labels?.probe].join(" ").trim());
                },
            },
            store: createStoreFake(clock),
        } as unknown as FrontContext;
        const view = {
            members: new Map(),
            quarantined: new Map(),
            onQuarantine: () => undefined,
            onQuarantineLost: () => undefined,
        };
        quarantine = createQuarantine(context, view, () => undefined, {
            async isReachedByOthers(engine, sinceMs) {
                await sleep(clock, bytes === "nobody knows when" ? Infinity : REPLY_MS);
                if (bytes === "an unanswerable question") {
                    throw new Error("no host can be asked");
                }
                return engine === ENTRY.id && bytesAtMs >= sinceMs && bytesAtMs <= clock.nowMs();
            },
        });
    },
);

/** Returns the clock reading at which another host last had bytes from the engine, in milliseconds. */
function readBytesAtMs(text: string): number {
    const [, ms, side] = /^(\d+) ms (before|after) the break$/.exec(text) ?? [];
    return ms === undefined ? -Infinity : BREAK_MS + (side === "before" ? -1 : 1) * Number(ms);
}

async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

When("an answer of it breaks off", () => quarantine.recordBreak(ENTRY, [brandId<Suspect>("p1")]));

When("{int} ms later another one does", async (ms: number) => {
    await advance(ms);
    quarantine.recordBreak(ENTRY, [brandId<Suspect>("p2")]);
});

Then(
    /^within (\d+) ms the host (reports a crash|counts a break, probe \w+)$/,
    async (withinMs: string, expected: string) => {
        await advance(Number(withinMs));
        const seen = ends.map(({ event, probe }) =>
            event === CRASH_EVENT ? "reports a crash" : `counts a break, probe ${probe}`
        );
        deepStrictEqual(seen, [expected]);
        const probe = ends[0]?.probe;
        deepStrictEqual(counted, [probe === undefined ? "engine_crashes_total" : `engine_breaks_total ${probe}`]);
    },
);

Then("the report names both requests", () => deepStrictEqual(ends.map(({ prompts }) => prompts), ["p1 p2"]));
