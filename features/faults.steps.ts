import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { SentRequest } from "./checkGuarantees.js";
import { checkGuarantees } from "./checkGuarantees.js";
import type { FaultFleet, FaultName } from "./faultFleet.js";
import { CONTENDED_ADAPTER, startFaultFleet } from "./faultFleet.js";
import type { FleetWorld } from "./fleetWorld.js";
import type { PlannedRequest } from "./sendRequest.js";
import { sendRequest } from "./sendRequest.js";

/** Requests sent in each of the three phases: before, during and after the faults. */
const REQUESTS_PER_PHASE = 14;
/** Share of requests with an idempotency key. */
const KEYED_SHARE = 0.4;
/** Share of requests with a streamed answer. */
const STREAM_SHARE = 0.5;
const MAX_TOKENS = 40;
const MAX_RECOVERY_ATTEMPTS = 150;
/** Time between two attempts, in milliseconds. */
const RECOVERY_INTERVAL_MS = 200;

interface FaultWorld extends FleetWorld {
    faults?: FaultFleet;
    sent?: SentRequest[];
}

Given(
    "a fault run with engines that have fencing tokens {word}",
    async function(this: FaultWorld, fencing: "checked" | "ignored") {
        this.faults = await startFaultFleet(fencing);
        this.sent = [];
    },
);

When(
    "requests of seed {int} are sent before, during and after {string} and {string}",
    async function(this: FaultWorld, seed: number, first: FaultName, second: string) {
        const { faults, sent } = requireFaultRun(this);
        const faultNames = second === "nothing else" ? [first] : [first, second as FaultName];
        const random = createRandom(seed);
        await runPhase(faults, sent, random, "before");
        const during = runPhase(faults, sent, random, "during");
        for (const name of faultNames) {
            await faults.inject(name);
        }
        await during;
        for (const name of faultNames) {
            await faults.heal(name);
        }
        await runPhase(faults, sent, random, "after");
    },
);

Then("the guarantees hold according to the stand-ins' records", function(this: FaultWorld) {
    const { faults, sent } = requireFaultRun(this);
    const records = faults.fleet.engines.map(engine => engine.record());
    const runs = records.flatMap(record => record.runs);
    ok(sent.some(request => request.status === 200), "no request was answered with status 200");
    const evictedInUse = records.reduce((total, record) => total + record.evictedInUse, 0);
    deepStrictEqual(checkGuarantees(sent, { runs, evictedInUse }), []);
});

Then("each host of the fault run serves requests again", async function(this: FaultWorld) {
    const { faults, sent } = requireFaultRun(this);
    for (const [at, url] of faults.urls.entries()) {
        const model = faults.models[at] ?? "";
        const answer = await retryUntilAnswered(faults, sent, url, {
            prompt: `again ${at}`,
            model,
            tokens: 3,
            key: undefined,
            stream: false,
        });
        strictEqual(answer.status, 200, `host ${at + 1} does not serve again: ${JSON.stringify(answer)}`);
    }
});

Then("each host of the fault run has the last accepted configuration", async function(this: FaultWorld) {
    const { faults } = requireFaultRun(this);
    await faults.configReached();
    const expected = faults.acceptedDefaultVersions.at(-1);
    if (expected === undefined) {
        return;
    }
    for (const url of faults.urls) {
        const res = await requestContendedModel(faults, url);
        strictEqual(res, `${CONTENDED_ADAPTER}@${expected}`);
    }
});

After(async function(this: FaultWorld) {
    await this.faults?.stop();
});

function requireFaultRun(world: FaultWorld): { faults: FaultFleet; sent: SentRequest[] } {
    if (world.faults === undefined || world.sent === undefined) {
        throw new Error("no fault run was started in this scenario");
    }
    return { faults: world.faults, sent: world.sent };
}

async function runPhase(faults: FaultFleet, sent: SentRequest[], random: Random, phase: string): Promise<void> {
    const planned = Array.from(
        { length: REQUESTS_PER_PHASE },
        (unused, at) => planRequest(faults, random, `${phase} ${at}`),
    );
    await Promise.all(planned.map(async request => {
        const copies = request.key === undefined ? 1 : 2;
        const urls = pickUrls(faults, random, copies);
        sent.push(...await Promise.all(urls.map(url => sendRequest(url, faults.callerKey, request))));
    }));
}

function planRequest(faults: FaultFleet, random: Random, name: string): PlannedRequest {
    const model = faults.models[Math.floor(random.next() * faults.models.length)] ?? "";
    const isKeyed = random.next() < KEYED_SHARE;
    return {
        prompt: name,
        model,
        tokens: 1 + Math.floor(random.next() * MAX_TOKENS),
        key: isKeyed ? `key ${name}`.replaceAll(" ", "-") : undefined,
        stream: random.next() < STREAM_SHARE,
    };
}

function pickUrls(faults: FaultFleet, random: Random, count: number): readonly string[] {
    const start = Math.floor(random.next() * faults.urls.length);
    return Array.from({ length: count }, (unused, at) => faults.urls[(start + at) % faults.urls.length] ?? "");
}

async function retryUntilAnswered(
    faults: FaultFleet,
    sent: SentRequest[],
    url: string,
    planned: PlannedRequest,
): Promise<SentRequest> {
    let answer = await sendRequest(url, faults.callerKey, planned);
    for (let attempt = 1; answer.status !== 200 && attempt < MAX_RECOVERY_ATTEMPTS; attempt += 1) {
        await new Promise(resolve => setTimeout(resolve, RECOVERY_INTERVAL_MS));
        answer = await sendRequest(url, faults.callerKey, { ...planned, prompt: `${planned.prompt} try ${attempt}` });
    }
    sent.push(answer);
    return answer;
}

async function requestContendedModel(faults: FaultFleet, url: string): Promise<string | null> {
    for (let attempt = 0; attempt < MAX_RECOVERY_ATTEMPTS; attempt += 1) {
        const res = await fetch(`${url}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${faults.callerKey}` },
            body: JSON.stringify({ model: CONTENDED_ADAPTER, prompt: "raced", max_tokens: 1 }),
        });
        await res.text();
        if (res.status === 200) {
            return res.headers.get("fulmarcleat-model");
        }
        await new Promise(resolve => setTimeout(resolve, RECOVERY_INTERVAL_MS));
    }
    return null;
}
