import { deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { checkPromises } from "./checkPromises.js";
import type { SentRequest } from "./checkPromises.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const TOKENS = 8;
const REPORT_LAG_MS = 800;
const KV_DOWN_MS = 1500;
const LOST_REPLIES = 5;
const FAILED_LOADS = 2;
const ADAPTERS = ["a1", "a2", "a3", "a4", "a5"] as const;
const GAP_MS = 20;

interface OwnershipWorld extends FleetWorld {
    sent?: SentRequest[];
}

Given(
    "an ownership fleet of {int} gateways and {int} engines with {int} adapter places, fences {string}",
    async function(this: OwnershipWorld, gateways: number, engines: number, places: number, fencing: string) {
        await this.start({
            gateways,
            engines,
            failureDomains: ["wien-a"],
            fencing: fencing === "checked" ? "checked" : "ignored",
            engine: { adapterPlaces: places, batchSlots: 4, checksFences: fencing === "checked" },
            gateway: { leaseMs: 2000, silenceMs: 1500 },
            resources: [{
                kind: "Policy",
                metadata: { name: "policy" },
                spec: { engineAdapterPlaces: places, engineBatchSlots: 4, storeLoadsPerSecond: 50 },
            }],
        });
        for (const adapter of ADAPTERS) {
            await this.offer(adapter, ["1"], "linz", "normal");
        }
        await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
        this.sent = [];
    },
);

When(
    "{int} requests for {int} adapters come to both gateways while {string}",
    async function(this: OwnershipWorld, requests: number, adapters: number, faults: string) {
        const answers: Promise<void>[] = [];
        let injected: readonly Promise<void>[] = [];
        for (let number = 0; number < requests; number += 1) {
            if (number === Math.floor(requests / 3)) {
                injected = faults.split(", ").map(fault => inject(this, fault));
            }
            answers.push(send(this, number, ADAPTERS[number % adapters] ?? "a1", 1 + (number % 2)));
            await pause(GAP_MS);
        }
        await Promise.all([...answers, ...injected]);
    },
);

Then("no promise to the callers is broken", function(this: OwnershipWorld) {
    const records = this.fleet.engines.map(engine => engine.record());
    const runs = records.flatMap(record => record.runs);
    const evictedInUse = records.reduce((sum, record) => sum + record.evictedInUse, 0);
    deepStrictEqual(checkPromises(this.sent ?? [], { runs, evictedInUse }), []);
    ok((this.sent ?? []).some(request => request.status === 200));
});

Then("requests are served again by {string}", async function(this: OwnershipWorld, numbers: string) {
    for (const gateway of numbers.split(",").map(Number)) {
        for (let number = 1;; number += 1) {
            await send(this, 1000 * gateway + number, "a1", gateway);
            const last = (this.sent ?? []).at(-1);
            if (last?.status === 200) {
                break;
            }
            ok(number < 60, last?.text);
            await pause(10 * GAP_MS);
        }
    }
});

async function send(world: OwnershipWorld, number: number, adapter: string, gateway: number): Promise<void> {
    const prompt = `request ${number}`;
    const model = `${adapter}@1`;
    const body = JSON.stringify({ model, prompt, max_tokens: TOKENS });
    const headers = { authorization: `Bearer ${world.keyOf("linz")}`, "fulmarcleat-deadline-ms": "15000" };
    const answer = await world.call(gateway, "/v1/completions", { method: "POST", headers, body }).catch(() =>
        undefined
    );
    if (answer === undefined) {
        return;
    }
    const outcome = answer.headers.get("fulmarcleat-outcome") ?? undefined;
    const text = answer.status === 200 ? readAnswer(answer.text) : answer.text;
    world.sent?.push({ prompt, model, tokens: TOKENS, key: undefined, status: answer.status, outcome, text });
}

function readAnswer(body: string): string {
    return (JSON.parse(body) as { choices: { text: string }[] }).choices[0]?.text ?? "";
}

async function inject({ fleet }: OwnershipWorld, fault: string): Promise<void> {
    const [engine] = fleet.engines;
    switch (fault) {
        case "nothing fails":
            return;
        case "the leases lapse":
            fleet.kv.lapseLeases();
            return;
        case "the KV goes down":
            fleet.kv.setFaults({ down: true });
            await pause(KV_DOWN_MS);
            fleet.kv.setFaults({ down: false });
            return;
        case "the KV loses replies":
            fleet.kv.setFaults({ loseReplies: LOST_REPLIES });
            return;
        case "an engine restarts":
            engine?.setFaults({ restart: true });
            return;
        case "the loads fail":
            engine?.setFaults({ failLoads: FAILED_LOADS });
            return;
        case "the reports lag":
            fleet.engines.forEach(each => each.setFaults({ reportLagMs: REPORT_LAG_MS }));
            return;
        case "the engine connections go silent":
            engine?.setFaults({ silence: true });
            return;
        case "a gateway stops as planned":
            await fleet.gateways[0]?.stop();
            return;
        case "a gateway fails":
            await fleet.gateways[0]?.crash();
            dropFirst(fleet);
            return;
        case "the list drops a host":
            dropFirst(fleet);
            await pause(2 * KV_DOWN_MS);
            return;
        default:
            throw new Error(`no fault ${fault}`);
    }
}

function dropFirst(fleet: OwnershipWorld["fleet"]): void {
    const rest = fleet.gateways.slice(1).map(gateway => ({
        host: gateway.host,
        address: "127.0.0.1",
        port: gateway.peerPort,
        failureDomain: "wien-a",
        state: "live" as const,
    }));
    fleet.hosts.setHosts(rest);
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
