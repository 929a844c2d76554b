import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import type { ExchangeResult } from "./runExchange.js";
import { runWithTakeover } from "./runWithTakeover.js";
import type { ExchangeEvents } from "./runWithTakeover.js";

/** An exchange that the test controls. */
interface ControlledExchange {
    readonly events: ExchangeEvents;
    end(result: ExchangeResult): void;
}

let exchanges: Map<string, ControlledExchange>;
let searches: string[];
let fails = false;
let isSearchWanted: () => boolean = () => false;
let end: string | undefined;

Given("an exchange with engine {string}", (engine: string) => {
    exchanges = new Map();
    searches = [];
    end = undefined;
    runWithTakeover(engine, {
        start(target, events) {
            let finish: (result: ExchangeResult) => void = () => undefined;
            const result = new Promise<ExchangeResult>(resolve => void (finish = resolve));
            exchanges.set(target, { events, end: finish });
            return { result, cancel: () => finish({ kind: "cancelled" }) };
        },
        findNext(silent, isWanted) {
            isSearchWanted = isWanted;
            return fails ? Promise.reject(new Error("the search failed")) : new Promise(() => undefined);
        },
        recordFailedSearch: (silent, err) => void searches.push(`${silent}: ${String(err)}`),
        recordLoser: () => undefined,
        onSwitch: () => undefined,
    }).then(
        ({ target, result }) => void (end = `${result.kind} at ${target}`),
        (err: unknown) => void (end = String(err)),
    );
});

When("engine {string} is silent and the search for another one fails", async (engine: string) => {
    fails = true;
    exchanges.get(engine)?.events.onSilent();
    await setImmediate();
});

When("engine {string} is silent and another one is being looked for", (engine: string) => {
    fails = false;
    exchanges.get(engine)?.events.onSilent();
});

When("engine {string} stays silent", (engine: string) => ok(exchanges.has(engine)));

When("engine {string} sends a byte", (engine: string) => exchanges.get(engine)?.events.onBytes());

When("engine {string} breaks off", async (engine: string) => {
    exchanges.get(engine)?.end({ kind: "broken", reason: "ECONNRESET", framing: undefined });
    await setImmediate();
});

When("engine {string} sends the whole answer", async (engine: string) => {
    const exchange = exchanges.get(engine);
    exchange?.events.onBytes();
    exchange?.events.onAccept();
    exchange?.end({ kind: "relayed", status: 200, framing: "chunks" });
    await setImmediate();
});

Then(
    "the request ends as {string} at engine {string}",
    (kind: string, engine: string) => strictEqual(end, `${kind} at ${engine}`),
);

Then(
    "the failed search of engine {string} is recorded",
    (engine: string) => strictEqual(searches.join(), `${engine}: Error: the search failed`),
);

Then(
    /^the search is (wanted|no longer wanted)$/,
    (wanted: string) => strictEqual(isSearchWanted(), wanted === "wanted"),
);
