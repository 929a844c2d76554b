import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { CallerAnswer, FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import { classifyAnswer, INVOICE_CALLER, waitForConfig } from "./onceWorld.js";

const ORDER_BODY = JSON.stringify({ bottle: 1 });

Given(
    "a plain billing service with its first url {word}",
    async function(this: FleetWorld, firstUrl: string) {
        const { url } = this.fleet.service;
        await applyBillingService(this, firstUrl === "closed" ? [await findUnusedUrl(), url] : [url, url], false);
        await this.call(1, "/services/billing/prices", { headers: createAuthHeaders(this) });
        this.answers = [];
    },
);

Given("the billing fault {string}", async function(this: FleetWorld, fault: string) {
    const { service } = this.fleet;
    switch (fault) {
        case "none":
            return;
        case "lost reply":
            service.setFaults({ loseReplies: 1 });
            return;
        case "silence":
            service.setFaults({ silence: true });
            return;
        case "draining":
            await applyBillingService(this, [service.url], true);
            return;
        case "KV down":
            this.fleet.kv.setFaults({ down: true });
            await waitUntilKvUnavailable(this);
            return;
        default:
            throw new Error(`unknown fault: ${fault}`);
    }
});

When(
    "{word} {string} is called {int} times with {} on the billing service",
    async function(this: FleetWorld, method: string, path: string, times: number, key: string) {
        for (let attempt = 0; attempt < times; attempt += 1) {
            const gateway = attempt % this.fleet.gateways.length + 1;
            await this.call(gateway, `/services/billing${path}`, {
                method,
                headers: {
                    ...createAuthHeaders(this),
                    ...(method === "POST" ? { "content-type": "application/json" } : {}),
                    ...(key === "a key" ? { "idempotency-key": "order-1" } : {}),
                },
                ...(method === "POST" ? { body: ORDER_BODY } : {}),
            });
        }
    },
);

Then(
    "the billing service ran {int} calls and every billing answer matches its record",
    function(this: FleetWorld, runs: number) {
        const record = this.fleet.service.record().slice(WARM_UP_CALLS);
        strictEqual(record.length, runs);
        for (const answer of this.answers) {
            if (classifyAnswer(answer).endsWith(":not_run")) {
                strictEqual(record.length, 0, "a request that ran was answered with not_run");
            }
        }
    },
);

Then("the billing answers are {string}", function(this: FleetWorld, expected: string) {
    strictEqual(this.answers.map(describeAnswer).join(", "), expected);
});

/** Calls that the set-up of the scenario sends to the service. */
const WARM_UP_CALLS = 1;

function describeAnswer(answer: CallerAnswer): string {
    if (answer.status !== 200) {
        return classifyAnswer(answer);
    }
    return answer.headers.get("fulmarcleat-replay") === "true" ? "200 replay" : "200";
}

function createAuthHeaders(world: FleetWorld): Record<string, string> {
    return { authorization: `Bearer ${world.formatCallerKey(INVOICE_CALLER)}` };
}

async function applyBillingService(world: FleetWorld, urls: readonly string[], draining: boolean): Promise<void> {
    await world.fleet.apply([{
        kind: "Service",
        metadata: { name: "billing" },
        spec: {
            urls,
            callers: [INVOICE_CALLER],
            routes: [
                { method: "POST", path: "/orders", repeatable: false, timeoutMs: 5000 },
                { method: "GET", path: "/prices", repeatable: true, timeoutMs: 5000 },
            ],
            draining,
        },
    }]);
    await waitForConfig(world);
}

async function waitUntilKvUnavailable(world: FleetWorld): Promise<void> {
    for (let gateway = 1; gateway <= world.fleet.gateways.length; gateway += 1) {
        for (let isKvUnavailable = false; !isKvUnavailable;) {
            const answer = await world.call(gateway, "/v1/completions", {
                method: "POST",
                headers: { ...createAuthHeaders(world), "idempotency-key": `probe-${gateway}-${world.answers.length}` },
                body: JSON.stringify({ model: "levy@7", prompt: "probe", max_tokens: 1 }),
            });
            isKvUnavailable = classifyAnswer(answer) === "kv_unavailable:not_run";
        }
    }
    world.answers = [];
}

async function findUnusedUrl(): Promise<string> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise<void>(resolve => server.close(() => resolve()));
    return `http://127.0.0.1:${port}`;
}
