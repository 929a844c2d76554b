import { listErrorCodes } from "@fulmarcleat/errors";
import { EVENT_CATALOGUE } from "@fulmarcleat/events";
import { After, deepStrictEqual, Given, ok, Then } from "@fulmarcleat/testing";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const ROOT = fileURLToPath(new URL("../", import.meta.url));
const EVENT_ROW = /^\| (\d{3}) \| ([^|]+) \| (.*) ?\|$/;

let outputChunks: string[] = [];
let restoreOutput = (): void => undefined;

Given(
    "a fleet of {int} gateways and {int} engines that logs at every level",
    async function(this: FleetWorld, gateways: number, engines: number) {
        captureOutput();
        await this.start({ gateways, engines, failureDomains: ["wien-a"], gateway: { logLevel: 5 } });
        await this.offerAdapter("levy", ["7"], "linz", "urgent", "7");
        await this.fleet.gateways[0]?.configReached(this.fleet.changes);
    },
);

Then("the events of the catalogue and of {string} agree, each with a meaning", (file: string) => {
    const rows = readFileSync(ROOT + file, "utf8").split("\n").flatMap(line => {
        const [, number, name, meaning] = EVENT_ROW.exec(line) ?? [];
        return number === undefined ? [] : [{ number, name, hasMeaning: (meaning ?? "").trim() !== "" }];
    });
    const expectedRows = Object.entries(EVENT_CATALOGUE).map(([number, name]) => ({ number, name, hasMeaning: true }));
    deepStrictEqual(rows, expectedRows);
});

Then("all events used in the sources are in the catalogue", () => {
    const files = readdirSync(`${ROOT}packages`, { recursive: true, encoding: "utf8" }).filter(file =>
        /^[^/]+\/src\/.*\.ts$/.test(file)
    );
    const usedEvents = files.flatMap(file => {
        const text = readFileSync(`${ROOT}packages/${file}`, "utf8");
        return [...text.matchAll(/log\??\.write\(([^;]*?)[,)] *\{/g)].flatMap(call =>
            call[1]?.match(/\b\d{3}\b/g) ?? []
        );
    });
    ok(usedEvents.length > 0, "no source file uses an event");
    deepStrictEqual(usedEvents.filter(number => !Object.hasOwn(EVENT_CATALOGUE, number)), []);
});

Then("the metrics of gateway {int} hold every refusal reason at 0", async function(this: FleetWorld, gateway: number) {
    const text = (await this.call(gateway, "/metrics", {})).text;
    const missing = listErrorCodes().filter(code =>
        !text.includes(`fulmarcleat_refusals_total{reason="${code}",outcome="not_run"} 0`)
    );
    deepStrictEqual(missing, []);
});

Then(/^the metrics of gateway (\d+) hold "(.*)"$/, async function(this: FleetWorld, gateway: string, line: string) {
    const text = (await this.call(Number(gateway), "/metrics", {})).text;
    ok(
        text.split("\n").includes(line),
        text.split("\n").filter(other => other.startsWith(line.split("{")[0] ?? "")).join("\n"),
    );
});

Then("the log contains event {int} and no key", (event: number) => {
    const text = outputChunks.join("");
    ok(text.includes(` ${event} `), "the log does not contain the event");
    ok(!/wrong-key-4711|key-of-linz|peer-key/.test(text), "the log contains a key");
});

After(() => {
    restoreOutput();
    outputChunks = [];
});

function captureOutput(): void {
    const streams = [process.stdout, process.stderr];
    const originals = streams.map(stream => stream.write.bind(stream));
    streams.forEach(stream => {
        stream.write = ((text: string | Uint8Array): boolean => {
            outputChunks.push(String(text));
            return true;
        }) as typeof stream.write;
    });
    restoreOutput = () => {
        streams.forEach((stream, at) => {
            stream.write = originals[at] ?? stream.write;
        });
        restoreOutput = () => undefined;
    };
}
