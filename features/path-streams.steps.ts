import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import { waitUntil } from "./waitUntil.js";

interface Chunk {
    readonly choices?: readonly { readonly text: string }[];
    readonly error?: { readonly code: string; readonly outcome: string };
}

Given(
    "a streaming fleet of {int} gateways and {int} engines that detect unresponsive streams after {int} ms",
    async function(this: FleetWorld, gateways: number, engines: number, streamSilenceMs: number) {
        await this.start({
            gateways,
            engines,
            failureDomains: ["wien-a", "linz-c"],
            gateway: { streamSilenceMs, openTimeoutMs: streamSilenceMs },
        });
    },
);

Given("the engines abort streams after {int} tokens", function(this: FleetWorld, tokens: number) {
    this.fleet.engines.forEach(engine => engine.setFaults({ cutStreamsAfterTokens: tokens }));
});

Given("the engines can't resume streams", function(this: FleetWorld) {
    this.fleet.engines.forEach(engine => engine.setFaults({ canResume: false }));
});

Given("the engines report that they ran {string}", function(this: FleetWorld, instance: string) {
    this.fleet.engines.forEach(engine => engine.setFaults({ echoInstance: instance }));
});

Given("the weight store stalls loads for {int} ms", function(this: FleetWorld, stallMs: number) {
    this.fleet.weights.setFaults({ stallMs });
});

When(
    "caller {string} streams {int} tokens of {string} and the connections become unresponsive after the first one",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        await streamTokens(this, caller, { tokens, model }, () => {
            this.fleet.engines.forEach(engine => engine.setFaults({ silence: true }));
            return true;
        });
    },
);

When(
    "caller {string} streams {int} tokens of {string} and disconnects after the first one",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        await streamTokens(this, caller, { tokens, model }, () => false);
    },
);

When(
    "caller {string} streams {int} tokens of {string} at gateway 1 and the gateway stops after the first one",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        const gateway = this.fleet.gateways[0];
        ok(gateway !== undefined, "the fleet has no gateway 1");
        await this.call(1, "/readyz", {});
        let gatewayStop: Promise<void> = Promise.resolve();
        let later: Promise<void> = Promise.resolve();
        let isStopped = false;
        const authorized = { headers: { authorization: `Bearer ${this.formatCallerKey(caller)}` } };
        await streamTokens(this, caller, { tokens, model }, () => {
            gatewayStop = gateway.stop().then(() => {
                isStopped = true;
            });
            later = Promise.all([this.call(1, "/readyz", {}), this.call(1, "/v1/models", authorized)]).then(() =>
                undefined
            );
            return true;
        });
        strictEqual(isStopped, false);
        await Promise.all([later, gatewayStop]);
    },
);

When(
    "caller {string} asks for {int} tokens of {string} within {int} ms, {word}",
    async function(this: FleetWorld, caller: string, tokens: number, model: string, deadlineMs: number, mode: string) {
        await this.call(1, "/v1/completions", {
            method: "POST",
            headers: {
                authorization: `Bearer ${this.formatCallerKey(caller)}`,
                "fulmarcleat-deadline-ms": String(deadlineMs),
            },
            body: JSON.stringify({ model, prompt: "count", max_tokens: tokens, stream: mode === "streamed" }),
        });
    },
);

Then("at least one stream was resumed", function(this: FleetWorld) {
    const counts = this.fleet.gateways.map(gateway => gateway.metrics.read("stream_resumes_total"));
    ok(counts.some(count => count > 0), "no stream was resumed");
});

Then("the engines started the request {int} time(s)", function(this: FleetWorld, times: number) {
    strictEqual(this.fleet.engines.flatMap(engine => engine.record().runs).length, times);
});

Then(
    "the answer ends within {string} with {string} and {string}",
    function(this: FleetWorld, text: string, code: string, outcome: string) {
        const raw = this.answers.at(-1)?.text ?? "";
        const chunks = readChunks(raw);
        const received = joinText(chunks);
        ok(received !== "" && text.startsWith(received), received);
        deepStrictEqual([chunks.at(-1)?.error?.code, chunks.at(-1)?.error?.outcome], [code, outcome]);
        ok(!raw.includes("[DONE]"), raw);
    },
);

Then(
    "the answer holds {int} tokens of {string} in order",
    function(this: FleetWorld, tokens: number, model: string) {
        const raw = this.answers.at(-1)?.text ?? "";
        const pieces = Array.from({ length: tokens }, (unused, index) => `${model}:${index} `);
        strictEqual(joinText(readChunks(raw)), pieces.join(""));
        ok(raw.endsWith("data: [DONE]\n\n"), "the end mark is missing");
    },
);

Then("the answer ends with the error {string} and {string}", function(this: FleetWorld, code: string, outcome: string) {
    const raw = this.answers.at(-1)?.text ?? "";
    const error = (raw.startsWith("data:") ? readChunks(raw).at(-1) : JSON.parse(raw) as Chunk)?.error;
    deepStrictEqual([error?.code, error?.outcome], [code, outcome], raw);
    ok(!raw.includes("[DONE]"), raw);
});

Then("the answer contains no text", function(this: FleetWorld) {
    ok(!(this.answers.at(-1)?.text ?? "").includes("choices"), "the answer contains text");
});

Then("each run ends as {string}", async function(this: FleetWorld, end: string) {
    await waitUntil(() => this.fleet.engines.flatMap(engine => engine.record().runs).every(run => run.end === end));
});

Then("the gateways hold no place", async function(this: FleetWorld) {
    await waitUntil(() => this.fleet.gateways.every(gateway => gateway.describeUnfinished().startsWith("0 ")));
});

Then("gateway 1 was not ready before its stop ended", function(this: FleetWorld) {
    strictEqual(this.answers[0]?.status, 200);
    const later = this.answers.slice(1, -1);
    deepStrictEqual(later.map(answer => answer.status), [503, 503]);
    ok(later.some(answer => answer.text.includes('"code":"stopping"')), "no refusal has the code stopping");
});

async function streamTokens(
    world: FleetWorld,
    caller: string,
    request: { readonly tokens: number; readonly model: string },
    onFirstChunk: () => boolean,
): Promise<void> {
    const res = await fetch(`${world.fleet.gateways[0]?.url}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${world.formatCallerKey(caller)}` },
        body: JSON.stringify({ model: request.model, prompt: "count", max_tokens: request.tokens, stream: true }),
    });
    ok(res.body !== null, "the answer has no body");
    const decoder = new TextDecoder();
    let text = "";
    for await (const bytes of res.body) {
        const isFirst = text === "";
        text += decoder.decode(bytes as Uint8Array, { stream: true });
        if (isFirst && !onFirstChunk()) {
            return;
        }
    }
    world.answers.push({ status: res.status, headers: res.headers, text });
}

function readChunks(raw: string): readonly Chunk[] {
    return raw.split("\n\n").filter(event => event !== "" && event !== "data: [DONE]").map(event =>
        JSON.parse(event.slice("data: ".length)) as Chunk
    );
}

function joinText(chunks: readonly Chunk[]): string {
    return chunks.map(chunk => chunk.choices?.[0]?.text ?? "").join("");
}
