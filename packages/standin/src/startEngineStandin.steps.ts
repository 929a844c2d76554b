import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { Agent } from "undici";
import { DEFAULT_ENGINE, startEngineStandin } from "./startEngineStandin.js";
import { startHostListStandin } from "./startHostListStandin.js";
import { startKvStandin } from "./startKvStandin.js";
import type { KvStandin } from "./startKvStandin.js";
import { startWeightStandin } from "./startWeightStandin.js";

interface RunningStandin {
    readonly url: string;
    close(): Promise<void>;
}

interface EngineLoadReport {
    readonly incarnation: string;
    readonly instances: readonly { readonly instance: string }[];
}

const LOCAL = { host: "127.0.0.1", port: 0 } as const;
const KEY = "test/key";
/** Time without a response after which a connection counts as unresponsive, in milliseconds. */
const SILENCE_TIMEOUT_MS = 200;

let standins = new Map<string, RunningStandin>();
let kv: KvStandin | undefined;
let loadStatuses: number[] = [];
let incarnation = "";
let hasResponse = true;

Given("standin weights, engine, kv and hosts are running", async () => {
    const weights = await startWeightStandin(LOCAL, { loadMs: 1, maxInTransit: 8, startsPerSecond: undefined });
    kv = await startKvStandin(LOCAL);
    standins = new Map<string, RunningStandin>([
        ["weights", weights],
        ["engine", await startEngineStandin(LOCAL, { ...DEFAULT_ENGINE, id: "e1", weightStoreUrl: weights.url })],
        ["kv", kv],
        ["hosts", await startHostListStandin(LOCAL, [])],
    ]);
    loadStatuses = [];
    incarnation = "";
});

After(async () => {
    await Promise.all([...standins.values()].map(standin => standin.close()));
    standins.clear();
});

When(/^standin (\w+) has faults (\{.*\})$/, async (kind: string, faults: string) => {
    strictEqual((await post(kind, "/faults", JSON.parse(faults)))?.status, 200);
});

When("standin engine is ordered to load {string} with fence {int}", async (name: string, fence: number) => {
    const answer = await post("engine", "/v1/load_lora_adapter", { lora_name: name, lora_path: name, fence });
    loadStatuses.push(answer?.status ?? 0);
});

When("standin kv is requested to write {string}", async (value: string) => {
    const compare = [{ key: KEY, mod_revision: "0" }];
    const success = [{ request_put: { key: KEY, value } }];
    hasResponse = await post("kv", "/v3/kv/txn", { compare, success }) !== undefined;
});

When("standin kv grants a lease", async () => {
    strictEqual((await post("kv", "/v3/lease/grant", { TTL: 600 }))?.status, 200);
});

Then(/^standin engine answered (.*)$/, (statuses: string) => strictEqual(loadStatuses.join(", "), statuses));

Then("standin engine reports instances {string}", async (instances: string) => {
    const report = await readReport();
    strictEqual(report.instances.map(entry => entry.instance).join(","), instances);
    incarnation = incarnation === "" ? report.incarnation : incarnation;
});

Then("standin engine reports another incarnation", async () => {
    ok((await readReport()).incarnation !== incarnation, "the incarnation did not change");
});

Then("standin engine returns no report", () => expectNoResponse("engine", "/load"));

Then("standin kv sent no response and holds {string}", (value: string) => {
    strictEqual(hasResponse, false);
    strictEqual(kv?.store.read(KEY)?.value, value);
});

Then("standin kv holds no lease", () => deepStrictEqual(kv?.store.leases, []));

Then(/^standin (\w+) does not respond$/, (kind: string) => expectNoResponse(kind, "/record"));

Then(/^standin (\w+) responds again after faults (\{.*\})$/, async (kind: string, faults: string) => {
    strictEqual((await post(kind, "/faults", JSON.parse(faults)))?.status, 200);
    ok(await fetch(`${readUrl(kind)}/record`).then(res => res.status > 0), "the stand-in did not respond");
});

Then(/^standin (\w+) stops responding on an open connection and responds on a new one$/, async (kind: string) => {
    const openConnection = new Agent({ connections: 1 });
    const newConnection = new Agent({ connections: 1 });
    const origin = readUrl(kind);
    const sendRecordRequest = async (dispatcher: Agent, signal?: AbortSignal): Promise<boolean> => {
        const options = {
            origin,
            path: "/record",
            method: "GET",
            ...(signal === undefined ? {} : { signal }),
        } as const;
        const res = await dispatcher.request(options);
        await res.body.dump();
        return res.statusCode > 0;
    };
    ok(await sendRecordRequest(openConnection), "the connection could not be opened");
    await post(kind, "/faults", { silence: true });
    strictEqual(
        await sendRecordRequest(openConnection, AbortSignal.timeout(SILENCE_TIMEOUT_MS)).catch(() => "silent"),
        "silent",
    );
    strictEqual(await sendRecordRequest(newConnection), true);
    await Promise.all([openConnection.destroy(), newConnection.destroy()]);
});

function readUrl(kind: string): string {
    return standins.get(kind)?.url ?? "";
}

async function post(kind: string, path: string, body: unknown): Promise<Response | undefined> {
    const headers = { "content-type": "application/json", connection: "close" };
    return fetch(`${readUrl(kind)}${path}`, { method: "POST", headers, body: JSON.stringify(body) }).catch(() =>
        undefined
    );
}

async function readReport(): Promise<EngineLoadReport> {
    return await (await fetch(`${readUrl("engine")}/load`)).json() as EngineLoadReport;
}

async function expectNoResponse(kind: string, path: string): Promise<void> {
    const answer = await fetch(`${readUrl(kind)}${path}`).catch(() => undefined);
    strictEqual(answer, undefined);
}
