import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const TOKENS_PER_REQUEST = 6;

Given(
    "a fleet of {int} gateways and {int} engines",
    async function(this: FleetWorld, gateways: number, engines: number) {
        await this.start({ gateways, engines, failureDomains: ["wien-a", "wien-b", "linz-c"] });
    },
);

Given(
    "adapter {string} with versions {string} offered to caller {string} as {string} with default {string}",
    async function(
        this: FleetWorld,
        adapter: string,
        versions: string,
        caller: string,
        priority: string,
        defaultVersion: string,
    ) {
        await this.offerAdapter(adapter, versions.split(","), caller, priority, defaultVersion);
        await waitForConfig(this);
    },
);

When(
    "caller {string} asks gateway {int} for model {string} by {string}, {word}",
    async function(this: FleetWorld, caller: string, gateway: number, model: string, kind: string, mode: string) {
        const input = kind === "chat" ? { messages: [{ role: "user", content: "count" }] } : { prompt: "count" };
        const path = kind === "chat" ? "/v1/chat/completions" : "/v1/completions";
        await this.call(gateway, path, {
            method: "POST",
            headers: { authorization: `Bearer ${this.formatCallerKey(caller)}` },
            body: JSON.stringify({ model, ...input, max_tokens: TOKENS_PER_REQUEST, stream: mode === "streamed" }),
        });
    },
);

Then("the answer is complete and ran {string}", function(this: FleetWorld, ran: string) {
    const answer = this.answers.at(-1);
    strictEqual(answer?.status, 200, answer?.text);
    strictEqual(answer?.headers.get("fulmarcleat-model"), ran);
    const expectedTokens = Array.from({ length: TOKENS_PER_REQUEST }, (unused, index) => `${ran}:${index} `);
    const text = readText(answer?.text ?? "");
    strictEqual(text, expectedTokens.join(""));
});

Then("the engines ran only {string}", function(this: FleetWorld, ran: string) {
    const runs = this.fleet.engines.flatMap(engine => engine.record().runs);
    ok(runs.length > 0);
    runs.forEach(run => strictEqual(run.instance.split("#")[0], ran));
});

async function waitForConfig(world: FleetWorld): Promise<void> {
    const reached = world.fleet.gateways.map(gateway => gateway.configReached(world.fleet.changes));
    await Promise.all(reached);
}

interface AnswerChoice {
    readonly text?: string;
    readonly delta?: { readonly content: string };
    readonly message?: { readonly content: string };
}

function readText(text: string): string {
    const bodies = text.startsWith("data:")
        ? text.split("\n\n").filter(event => event !== "" && event !== "data: [DONE]").map(event =>
            event.slice("data: ".length)
        )
        : [text];
    return bodies.map(body => (JSON.parse(body) as { choices: AnswerChoice[] }).choices[0]).map(choice =>
        choice?.text ?? choice?.delta?.content ?? choice?.message?.content ?? ""
    ).join("");
}
