import { deepStrictEqual, Given, Then, When } from "@fulmarcleat/testing";
import type { RunningProgram } from "./runningProgram.js";
import { stopOnSignals } from "./stopOnSignals.js";

const listeners = new Map<NodeJS.Signals, (signal: NodeJS.Signals) => void>();
let running: RunningProgram & { limitMs: number | undefined };
let timers: { readonly delayMs: number; readonly fire: () => void }[] = [];
let exits: number[] = [];

Given("a program whose stop never ends, with a limit of {int} ms at its start", (limitMs: number) => {
    listeners.clear();
    timers = [];
    exits = [];
    running = {
        limitMs: undefined,
        stop: () => new Promise(() => undefined),
        describeUnfinished: () => "",
        readStopLimitMs: () => running.limitMs ?? limitMs,
    };
    stopOnSignals(running, limitMs, { write: () => undefined }, {
        on: (signal, listener) => void listeners.set(signal, listener),
        exit: code => void exits.push(code),
        setTimer: (delayMs, fire) => void timers.push({ delayMs, fire }),
    });
});

When(/^its settings name (no limit|a limit of \d+ ms) and SIGTERM arrives$/, (name: string) => {
    running.limitMs = name === "no limit" ? undefined : Number(/\d+/.exec(name)?.[0]);
    listeners.get("SIGTERM")?.("SIGTERM");
});

Then("it ends after {int} ms, with code {int}", (delayMs: number, code: number) => {
    deepStrictEqual(timers.map(timer => timer.delayMs), [delayMs]);
    deepStrictEqual(exits, []);
    timers.forEach(timer => timer.fire());
    deepStrictEqual(exits, [code]);
});
