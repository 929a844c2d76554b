import { createMetrics } from "@fulmarcleat/events";
import { FLEET_PEER_KEY } from "@fulmarcleat/fleet";
import { brandId, createSystemClock } from "@fulmarcleat/ids";
import type { HostId, Nonce, RequestId } from "@fulmarcleat/ids";
import { hashSecret } from "@fulmarcleat/resources";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createPeerClient } from "@fulmarcleat/wire";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import {
    checkInvoiceAnswer,
    classifyAnswer,
    INVOICE_CALLER,
    INVOICE_PROMPT,
    sendInvoice,
    startInvoicing,
} from "./onceWorld.js";

const INVOICE_KEY = "invoice-2024-11";
/** Delay of each answer of the slow key-value service, in milliseconds. */
const SLOW_KV_MS = 150;
/** Enough lost replies for a whole scenario. */
const UNLIMITED_LOST_REPLIES = 1_000_000;
/** Time between two attempts, in milliseconds. */
const POLL_INTERVAL_MS = 20;
/** Default number of partitions among which the keys are divided. */
const PARTITION_COUNT = 64;
/** Length of a stored key and of a request hash, in hexadecimal digits. */
const KEY_LENGTH = 32;
const WARM_UP_PROMPT = "warm up";

Given(
    "an invoicing fleet of {int} gateways and {int} engines",
    async function(this: FleetWorld, gateways: number, engines: number) {
        await startInvoicing(this, gateways, engines);
    },
);

Given("the invoicing faults {string}", async function(this: FleetWorld, faults: string) {
    await sendInvoice(this, { gateway: 1, key: undefined, stream: false, prompt: WARM_UP_PROMPT });
    this.answers = [];
    for (const fault of faults.split(", ")) {
        await injectFault(this, fault);
    }
});

async function injectFault(world: FleetWorld, fault: string): Promise<void> {
    const { kv, engines } = world.fleet;
    switch (fault) {
        case "none":
            return;
        case "lost KV reply":
            kv.setFaults({ loseReplies: 1 });
            return;
        case "lost KV request":
            kv.setFaults({ loseRequests: 1 });
            return;
        case "slow KV":
            kv.setFaults({ delayMs: SLOW_KV_MS });
            return;
        case "no KV reply to writes":
            kv.setFaults({ loseReplies: UNLIMITED_LOST_REPLIES });
            return;
        case "KV gone at the claim":
            kv.store.subscribe(encodeBase64(`claims/${locateClaim().partition}`), () => kv.setFaults({ down: true }));
            return;
        case "KV down":
            kv.setFaults({ down: true });
            await waitUntilKvUnavailable(world);
            return;
        case "cut stream":
            engines.forEach(engine => engine.setFaults({ cutStreamsAfterTokens: 2 }));
            return;
        case "cut stream for good":
            engines.forEach(engine => engine.setFaults({ cutStreamsAfterTokens: 2, canResume: false }));
            return;
        case "silent engine":
            engines.forEach(engine => engine.setFaults({ silence: true }));
            return;
        case "refusing engine":
            engines[0]?.setFaults({ leaving: true });
            return;
        default:
            throw new Error(`unknown fault: ${fault}`);
    }
}

async function waitUntilKvUnavailable(world: FleetWorld): Promise<void> {
    for (let gateway = 1; gateway <= world.fleet.gateways.length; gateway += 1) {
        for (let probe = 0;; probe += 1) {
            const call = { gateway, key: `probe-${gateway}-${probe}`, stream: false, prompt: WARM_UP_PROMPT };
            if (classifyAnswer(await sendInvoice(world, call)) === "kv_unavailable:not_run") {
                break;
            }
            await sleep(POLL_INTERVAL_MS);
        }
    }
    world.answers = [];
}

When("the levy invoice is sent {} with one key", async function(this: FleetWorld, manner: string) {
    const send = (gateway: number, stream: boolean) =>
        sendInvoice(this, { gateway, key: INVOICE_KEY, stream, prompt: INVOICE_PROMPT });
    switch (manner) {
        case "twice in turn":
            await send(1, false);
            await send(1, false);
            return;
        case "twice through two gateways":
            await send(1, false);
            await send(2, false);
            return;
        case "whole then streamed":
            await send(1, false);
            await send(2, true);
            return;
        case "streamed then whole":
            await send(1, true);
            await send(2, false);
            return;
        case "five times at once":
            await Promise.all([1, 2, 3, 1, 2].map(gateway => send(gateway, false)));
            return;
        default:
            throw new Error(`unknown manner of sending: ${manner}`);
    }
});

When("another invoice is sent with the same key", async function(this: FleetWorld) {
    await sendInvoice(this, { gateway: 2, key: INVOICE_KEY, stream: false, prompt: "another invoice" });
});

When("an invoice lookup without a key is sent", async function(this: FleetWorld) {
    await sendInvoice(this, { gateway: 2, key: undefined, stream: false, prompt: "lookup" });
});

When("the key-value service of the invoices is available again", function(this: FleetWorld) {
    this.fleet.kv.setFaults({ down: false });
});

When("a new levy invoice is sent until the key-value service is used again", async function(this: FleetWorld) {
    for (;;) {
        const call = { gateway: 1, key: "fresh-invoice", stream: false, prompt: "fresh invoice" };
        if (classifyAnswer(await sendInvoice(this, call)) !== "kv_unavailable:not_run") {
            return;
        }
        await sleep(POLL_INTERVAL_MS);
    }
});

Given("a host claims the invoice's key and fails", async function(this: FleetWorld) {
    const [gateway] = this.fleet.gateways;
    ok(gateway !== undefined);
    const clock = createSystemClock();
    const peers = createPeerClient({
        host: brandId<HostId>("entry-gone"),
        peerKey: FLEET_PEER_KEY,
        clock,
        metrics: createMetrics(),
        heartbeatMs: 200,
        silenceMs: 5000,
    });
    const { key, partition } = locateClaim();
    const address = { host: gateway.host, address: "127.0.0.1", port: gateway.peerPort };
    const reply = await peers.request(address, "claim", {
        mode: "claim",
        partition,
        key,
        requestHash: hashInvoiceRequest(),
        nonce: brandId<Nonce>("gone-1"),
        requestId: brandId<RequestId>("gone-1"),
        waitMs: 3000,
    }, 5000);
    peers.close();
    strictEqual(reply.kind, "granted");
});

function locateClaim(): { readonly key: string; readonly partition: number } {
    const key = hashSecret(`${INVOICE_CALLER}\u0000${INVOICE_KEY}`).slice(0, KEY_LENGTH);
    return { key, partition: parseInt(key.slice(0, 8), 16) % PARTITION_COUNT };
}

function encodeBase64(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function hashInvoiceRequest(): string {
    const requestFields = Object.entries({ model: "levy@7", prompt: INVOICE_PROMPT, max_tokens: 6 })
        .sort(([a], [b]) => a < b ? -1 : 1);
    return hashSecret(`/v1/completions\n${JSON.stringify(requestFields)}`).slice(0, KEY_LENGTH);
}

When("the first invoicing gateway stops", async function(this: FleetWorld) {
    const [gateway] = this.fleet.gateways;
    const address = gateway?.url ?? "";
    await gateway?.stop();
    const isOpen = await fetch(`${address}/healthz`).then(() => true, () => false);
    strictEqual(isOpen, false);
});

When("the levy invoice is sent through the other gateways with the same key", async function(this: FleetWorld) {
    await sendInvoice(this, { gateway: 2, key: INVOICE_KEY, stream: false, prompt: INVOICE_PROMPT });
    await sendInvoice(this, { gateway: 3, key: INVOICE_KEY, stream: false, prompt: INVOICE_PROMPT });
});

Then(
    "the invoice ran {int} times and every invoice answer matches the engines' records",
    function(this: FleetWorld, runs: number) {
        const invoiceRuns = this.fleet.engines.flatMap(engine => engine.record().runs).filter(run =>
            run.prompt === INVOICE_PROMPT
        );
        strictEqual(invoiceRuns.length, runs, this.answers.map(classifyAnswer).join(", "));
        this.answers.forEach(answer => checkInvoiceAnswer(this, answer));
    },
);

Then("the last invoice answer is {string}", function(this: FleetWorld, expected: string) {
    strictEqual(classifyAnswer(this.answers.at(-1)), expected);
});

Then(/^the invoice answers are (.*)$/, function(this: FleetWorld, expected: string) {
    const names = this.answers.map(classifyAnswer);
    switch (expected) {
        case "whole then replay":
            strictEqual(names.join(", "), "whole, replay");
            return;
        case "one whole":
            strictEqual(names.filter(name => name === "whole").length, 1, names.join(", "));
            names.forEach(name => ok(CONCURRENT_ANSWERS.has(name), names.join(", ")));
            return;
        case "kv_unavailable:not_run twice":
            strictEqual(names.join(", "), "kv_unavailable:not_run, kv_unavailable:not_run");
            this.answers.forEach(answer => ok(Number(answer.headers.get("retry-after")) > 0));
            return;
        case "kv_unknown:unknown then spent":
            strictEqual(names[0], "kv_unknown:unknown");
            ok(UNKNOWN_CLAIM_ANSWERS.has(names[1] ?? ""), names.join(", "));
            return;
        case "stream_broken:ran then spent":
            strictEqual(names.join(", "), "stream_broken:ran, key_spent:ran");
            return;
        default:
            throw new Error(`unknown expectation: ${expected}`);
    }
});

/** Answers that concurrent requests with one key may receive. */
const CONCURRENT_ANSWERS: ReadonlySet<string> = new Set(["whole", "replay", "key_in_progress:unknown"]);
/** Answers that a repeated request may receive after a claim of unknown outcome. */
const UNKNOWN_CLAIM_ANSWERS: ReadonlySet<string> = new Set([
    "kv_unknown:unknown",
    "key_in_progress:unknown",
    "kv_unavailable:not_run",
]);
