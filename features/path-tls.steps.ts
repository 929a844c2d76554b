import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { readFileSync } from "node:fs";
import { request } from "node:https";
import { fileURLToPath } from "node:url";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const CERT_FILE = fileURLToPath(new URL("certificates/cert.pem", import.meta.url));
const KEY_FILE = fileURLToPath(new URL("certificates/key.pem", import.meta.url));
const LOCAL_LISTENER = { host: "127.0.0.1", port: 0 };
const FLEET_SIZES = { gateways: 2, engines: 3, failureDomains: ["wien-a"] };
const TOKENS = 4;

let answerTexts: string[] = [];

Given("a fleet whose listeners use TLS", async function(this: FleetWorld) {
    const listen = { ...LOCAL_LISTENER, tls: { certFile: CERT_FILE, keyFile: KEY_FILE } };
    await this.start({ ...FLEET_SIZES, gateway: { callers: listen, peers: listen, peerCaFile: CERT_FILE } });
});

When(
    "caller {string} asks each gateway for {string} over TLS",
    async function(this: FleetWorld, caller: string, model: string) {
        answerTexts = await Promise.all(
            this.fleet.gateways.map(gateway => postCompletion(gateway.url, this.formatCallerKey(caller), model)),
        );
    },
);

Then("the answers over TLS are complete", () => {
    answerTexts.forEach(text => {
        const { choices } = JSON.parse(text) as { readonly choices: readonly { readonly text: string }[] };
        strictEqual(choices[0]?.text, "levy@7:0 levy@7:1 levy@7:2 levy@7:3 ");
    });
    strictEqual(answerTexts.length, FLEET_SIZES.gateways);
});

Then("the peers communicated over TLS", function(this: FleetWorld) {
    const helloCounts = this.fleet.gateways.map(gateway => gateway.metrics.read("peer_asks_total", { name: "hello" }));
    ok(helloCounts.every(count => count > 0), `hello messages per gateway: ${helloCounts.join(", ")}`);
    ok(this.fleet.gateways.every(gateway => gateway.url.startsWith("https:")), "a listener does not use TLS");
});

Then(
    "an API that trusts the peers' certificate authority reports every gateway as ready",
    async function(this: FleetWorld) {
        const api = await this.fleet.startApi(1, { peerCaFile: CERT_FILE });
        const res = await fetch(`${api.url}/apis/v1/status`, {
            headers: { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` },
        });
        const { hosts } = await res.json() as { readonly hosts: readonly { readonly ready: boolean }[] };
        strictEqual(hosts.filter(host => host.ready).length, FLEET_SIZES.gateways);
    },
);

function postCompletion(url: string, key: string, model: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const headers = { authorization: `Bearer ${key}` };
        const req = request(`${url}/v1/completions`, { method: "POST", headers, ca: readFileSync(CERT_FILE) }, res => {
            let text = "";
            res.on("data", (chunk: Buffer) => {
                text += chunk.toString("utf8");
            });
            res.on("end", () => resolve(text));
        });
        req.on("error", reject);
        req.end(JSON.stringify({ model, prompt: "count", max_tokens: TOKENS }));
    });
}
