import { driveLoad } from "@fulmarcleat/load";
import { deepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import OpenAI from "openai";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const MESSAGES = [{ role: "user" as const, content: "count" }];

Then(
    "openai client of caller {string} receives a complete chat of {int} tokens of {string}",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        const answer = await createClient(this, caller).chat.completions.create({
            model,
            messages: MESSAGES,
            max_tokens: tokens,
        });
        strictEqual(answer.choices[0]?.message.content, formatTokens(model, tokens));
        strictEqual(answer.model, model);
        strictEqual(answer.usage?.completion_tokens, tokens);
    },
);

Then(
    "openai client of caller {string} receives a streamed chat of {int} tokens of {string}",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        const stream = await createClient(this, caller).chat.completions.create({
            model,
            messages: MESSAGES,
            max_tokens: tokens,
            stream: true,
        });
        let text = "";
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
        }
        strictEqual(text, formatTokens(model, tokens));
    },
);

Then(
    "openai client of caller {string} receives a streamed completion of {int} tokens of {string}",
    async function(this: FleetWorld, caller: string, tokens: number, model: string) {
        const stream = await createClient(this, caller).completions.create({
            model,
            prompt: "count",
            max_tokens: tokens,
            stream: true,
        });
        let text = "";
        for await (const chunk of stream) {
            text += chunk.choices[0]?.text ?? "";
        }
        strictEqual(text, formatTokens(model, tokens));
    },
);

Then(
    "openai client of caller {string} lists {string}",
    async function(this: FleetWorld, caller: string, models: string) {
        const { data } = await createClient(this, caller).models.list();
        strictEqual(data.map(model => model.id).join(","), models);
    },
);

Then(
    "openai client of caller {string} receives the error {string} with status {int} for {string}",
    async function(this: FleetWorld, caller: string, code: string, status: number, model: string) {
        const error = await createClient(this, caller).completions.create({ model, prompt: "count" })
            .then(() => undefined, (err: unknown) => err);
        ok(error instanceof OpenAI.APIError, String(error));
        deepStrictEqual([error.code, error.status], [code, status]);
    },
);

Then(
    "load of {int} requests a second for {int} seconds by {string} on {string} is answered completely",
    async function(this: FleetWorld, requestsPerSecond: number, seconds: number, caller: string, models: string) {
        const result = await driveLoad({
            urls: this.fleet.gateways.map(gateway => gateway.url),
            key: this.formatCallerKey(caller),
            models: models.split(","),
            zipfExponent: 1,
            requestsPerSecond,
            seconds,
            seed: 7,
            classes: [{ priority: "urgent", share: 0.5, tokens: 4 }, { priority: "bulk", share: 0.5, tokens: 16 }],
            deadlineMs: 30_000,
        }, new AbortController().signal);
        deepStrictEqual(
            { sent: result.sent, whole: result.whole, wrong: result.wrong, errors: result.errors },
            { sent: requestsPerSecond * seconds, whole: requestsPerSecond * seconds, wrong: 0, errors: {} },
        );
    },
);

function createClient(world: FleetWorld, caller: string): OpenAI {
    return new OpenAI({
        baseURL: `${world.fleet.gateways[0]?.url}/v1`,
        apiKey: world.formatCallerKey(caller),
        maxRetries: 0,
    });
}

function formatTokens(model: string, tokens: number): string {
    return Array.from({ length: tokens }, (unused, index) => `${model}:${index} `).join("");
}
