import { CONFIG_LOG_KEY, parseConfigLog, readLastSeq } from "@fulmarcleat/config";
import type { ConfigLog } from "@fulmarcleat/config";
import { FLEET_BASE_MODEL, FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import { formatResourceKey, hashSecret } from "@fulmarcleat/resources";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { matchesSubset } from "./apiWorld.js";
import type { ApiWorld } from "./apiWorld.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

Given("an operator API", async function(this: FleetWorld & ApiWorld) {
    this.api = await this.fleet.startApi(1);
});

Given("the API's key-value service is down", function(this: FleetWorld) {
    this.fleet.kv.setFaults({ down: true });
});

Given("the API's key-value service loses the next {int} replies", function(this: FleetWorld, loseReplies: number) {
    this.fleet.kv.setFaults({ loseReplies });
});

Given(
    "the API has accepted adapter {string} with versions {string}, caller {string} and an offer of both",
    async function(this: FleetWorld & ApiWorld, adapter: string, versions: string, caller: string) {
        const versionNames = versions.split(",");
        const weights = versionNames.map(version => ({ version, weights: `${adapter}/${version}` }));
        const spec = { adapter, versions: versionNames, callers: [caller], priority: "urgent" };
        for (
            const resource of [
                {
                    kind: "Adapter",
                    metadata: { name: adapter },
                    spec: { baseModel: FLEET_BASE_MODEL, versions: weights },
                },
                { kind: "Caller", metadata: { name: caller }, spec: { keyHashes: [hashSecret(caller)] } },
                { kind: "Offer", metadata: { name: `${adapter}-${caller}` }, spec },
            ]
        ) {
            await callApi(this, "POST", resource.kind, { body: JSON.stringify(resource) });
            strictEqual(this.apiAnswer?.status, 201);
        }
        this.acceptedSeq = readLastSeq(await readConfigLog(this));
    },
);

When(/^operator (?:with token "(.*?)" )?(GET|DELETE)s "(.*?)"(?: if it matches "(.*)")?$/, async function(
    this: FleetWorld & ApiWorld,
    token: string | null,
    method: string,
    path: string,
    ifMatch: string | null,
) {
    await callApi(this, method, path, { token: token ?? undefined, ifMatch: ifMatch ?? undefined });
});

When(/^operator (?:with token "(.*?)" )?(POST|PUT|PATCH)e?s "(.*?)" (\{.*\})$/, async function(
    this: FleetWorld & ApiWorld,
    token: string | null,
    method: string,
    path: string,
    body: string,
) {
    await callApi(this, method, path, { token: token ?? undefined, body });
});

Then(/^the API answers (\d+) with (\{.*\})$/, function(this: ApiWorld, status: string, part: string) {
    const text = JSON.stringify(this.apiAnswer?.body);
    strictEqual(this.apiAnswer?.status, Number(status), text);
    ok(this.apiAnswer.headers.get("x-request-id") !== null);
    ok(matchesSubset(this.apiAnswer.body, JSON.parse(part)), text);
});

Then("the API's answer has the header {string} {string}", function(this: ApiWorld, name: string, value: string) {
    strictEqual(this.apiAnswer?.headers.get(name), value);
});

Then("the API accepted no further change", async function(this: FleetWorld & ApiWorld) {
    strictEqual(readLastSeq(await readConfigLog(this)), this.acceptedSeq);
});

Then("the API reports that {string} is in effect on {int} hosts", async function(
    this: FleetWorld & ApiWorld,
    path: string,
    hosts: number,
) {
    for (;;) {
        await callApi(this, "GET", `${path}/status`, {});
        const status = this.apiAnswer?.body as { readonly inForce: boolean; readonly inForceOn: readonly string[] };
        if (status.inForce && status.inForceOn.length === hosts) {
            return;
        }
    }
});

Then("the configuration log contains {int} change of {string}", async function(
    this: FleetWorld,
    count: number,
    key: string,
) {
    const { changes } = await readConfigLog(this);
    const changesOfKey = changes.filter(change =>
        change.op.kind === "put"
        && formatResourceKey({ kind: change.op.resource.kind, name: change.op.resource.metadata.name }) === key
    );
    strictEqual(changesOfKey.length, count);
});

async function readConfigLog(world: FleetWorld): Promise<ConfigLog> {
    return parseConfigLog((await world.fleet.kvClient.read("config", CONFIG_LOG_KEY))?.value ?? "");
}

interface CallOptions {
    readonly token?: string;
    readonly ifMatch?: string;
    readonly body?: string;
}

async function callApi(world: ApiWorld, method: string, path: string, options: CallOptions): Promise<void> {
    const res = await fetch(`${world.api?.url}/apis/v1/${path}`, {
        method,
        headers: {
            authorization: `Bearer ${options.token ?? FLEET_OPERATOR_TOKEN}`,
            ...(options.ifMatch === undefined ? {} : { "if-match": options.ifMatch }),
        },
        body: options.body,
    });
    world.apiAnswer = { status: res.status, headers: res.headers, body: await res.json() };
}
