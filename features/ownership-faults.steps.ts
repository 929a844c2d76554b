import { deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { checkGuarantees } from "./checkGuarantees.js";
import "./fleetWorld.js";
import type { OwnershipWorld } from "./ownershipRequests.js";
import { sendOwnershipRequest } from "./ownershipRequests.js";

const TOKENS_PER_REQUEST = 8;
/** Delay of the engines' reports, in milliseconds. */
const REPORT_LAG_MS = 800;
/** How long the key-value service is down, in milliseconds. */
const KV_DOWN_MS = 1500;
const LOST_REPLY_COUNT = 5;
const FAILED_LOAD_COUNT = 2;
const ADAPTER_NAMES = ["a1", "a2", "a3", "a4", "a5"] as const;
/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;

Given(
    "an ownership fleet of {int} gateways and {int} engines with {int} adapter slots, fencing tokens {string}",
    async function(this: OwnershipWorld, gateways: number, engines: number, adapterSlots: number, fencing: string) {
        await this.start({
            gateways,
            engines,
            failureDomains: ["wien-a"],
            fencing: fencing === "checked" ? "checked" : "ignored",
            engine: { adapterPlaces: adapterSlots, batchSlots: 4, checksFences: fencing === "checked" },
            gateway: { leaseMs: 2000, silenceMs: 1500 },
            resources: [{
                kind: "Policy",
                metadata: { name: "policy" },
                spec: { engineAdapterPlaces: adapterSlots, engineBatchSlots: 4, storeLoadsPerSecond: 50 },
            }],
        });
        for (const adapter of ADAPTER_NAMES) {
            await this.offerAdapter(adapter, ["1"], "linz", "normal");
        }
        await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
        this.sentRequests = [];
    },
);

When(
    "{int} requests for {int} adapters are sent to both gateways while {string}",
    async function(this: OwnershipWorld, requests: number, adapters: number, faults: string) {
        const answers: Promise<void>[] = [];
        let injected: readonly Promise<void>[] = [];
        for (let number = 0; number < requests; number += 1) {
            if (number === Math.floor(requests / 3)) {
                injected = faults.split(", ").map(fault => injectFault(this, fault));
            }
            const adapter = ADAPTER_NAMES[number % adapters] ?? "a1";
            answers.push(
                sendOwnershipRequest(this, { number, adapter, gateway: 1 + (number % 2), tokens: TOKENS_PER_REQUEST }),
            );
            await sleep(REQUEST_INTERVAL_MS);
        }
        await Promise.all([...answers, ...injected]);
    },
);

Then("every guarantee to the callers holds", function(this: OwnershipWorld) {
    const records = this.fleet.engines.map(engine => engine.record());
    const runs = records.flatMap(record => record.runs);
    const evictedInUse = records.reduce((sum, record) => sum + record.evictedInUse, 0);
    deepStrictEqual(checkGuarantees(this.sentRequests ?? [], { runs, evictedInUse }), []);
    ok((this.sentRequests ?? []).some(request => request.status === 200));
});

Then("gateways {string} serve requests again", async function(this: OwnershipWorld, numbers: string) {
    for (const gateway of numbers.split(",").map(Number)) {
        for (let number = 1;; number += 1) {
            await sendOwnershipRequest(this, {
                number: 1000 * gateway + number,
                adapter: "a1",
                gateway,
                tokens: TOKENS_PER_REQUEST,
            });
            const lastRequest = (this.sentRequests ?? []).at(-1);
            if (lastRequest?.status === 200) {
                break;
            }
            ok(number < 60, lastRequest?.text);
            await sleep(10 * REQUEST_INTERVAL_MS);
        }
    }
});

async function injectFault({ fleet }: OwnershipWorld, fault: string): Promise<void> {
    const [engine] = fleet.engines;
    switch (fault) {
        case "nothing fails":
            return;
        case "the leases lapse":
            fleet.kv.lapseLeases();
            return;
        case "the KV goes down":
            fleet.kv.setFaults({ down: true });
            await sleep(KV_DOWN_MS);
            fleet.kv.setFaults({ down: false });
            return;
        case "the KV loses replies":
            fleet.kv.setFaults({ loseReplies: LOST_REPLY_COUNT });
            return;
        case "an engine restarts":
            engine?.setFaults({ restart: true });
            return;
        case "the loads fail":
            engine?.setFaults({ failLoads: FAILED_LOAD_COUNT });
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
            removeFirstHost(fleet);
            return;
        case "the list drops a host":
            removeFirstHost(fleet);
            await sleep(2 * KV_DOWN_MS);
            return;
        default:
            throw new Error(`unknown fault: ${fault}`);
    }
}

function removeFirstHost(fleet: OwnershipWorld["fleet"]): void {
    const remainingHosts = fleet.gateways.slice(1).map(gateway => ({
        host: gateway.host,
        address: "127.0.0.1",
        port: gateway.peerPort,
        failureDomain: "wien-a",
        state: "live" as const,
    }));
    fleet.hosts.setHosts(remainingHosts);
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
