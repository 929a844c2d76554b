import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { readFileSync } from "node:fs";
import { request } from "node:https";
import { fileURLToPath } from "node:url";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const CERT_FILE = fileURLToPath(new URL("certificates/cert.pem", import.meta.url));
const KEY_FILE = fileURLToPath(new URL("certificates/key.pem", import.meta.url));
const LISTEN = { host: "127.0.0.1", port: 0 };
const SIZES = { gateways: 2, engines: 3, failureDomains: ["wien-a"] };
const TOKENS = 4;

let texts: string[] = [];

Given("a path fleet whose listeners use TLS", async function(this: FleetWorld) {
    const listen = { ...LISTEN, tls: { certFile: CERT_FILE, keyFile: KEY_FILE } };
    await this.start({ ...SIZES, gateway: { callers: listen, peers: listen, peerCaFile: CERT_FILE } });
});

When(
    "caller {string} asks each gateway for {string} by TLS",
    async function(this: FleetWorld, caller: string, model: string) {
        texts = await Promise.all(
            this.fleet.gateways.map(gateway => post(gateway.url, this.formatCallerKey(caller), model)),
        );
    },
);

Then("path TLS answers are whole", () => {
    texts.forEach(text => {
        const { choices } = JSON.parse(text) as { readonly choices: readonly { readonly text: string }[] };
        strictEqual(choices[0]?.text, "levy@7:0 levy@7:1 levy@7:2 levy@7:3 ");
    });
    strictEqual(texts.length, SIZES.gateways);
});

Then("path peers talked by TLS", function(this: FleetWorld) {
    const asks = this.fleet.gateways.map(gateway => gateway.metrics.read("peer_asks_total", { name: "hello" }));
    ok(asks.every(count => count > 0), `hellos: ${asks.join(", ")}`);
    ok(this.fleet.gateways.every(gateway => gateway.url.startsWith("https:")), "a listener is plain");
});

Then("path API with the peers' authority sees every gateway ready", async function(this: FleetWorld) {
    const api = await this.fleet.startApi(1, { peerCaFile: CERT_FILE });
    const res = await fetch(`${api.url}/apis/v1/status`, {
        headers: { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` },
    });
    const { hosts } = await res.json() as { readonly hosts: readonly { readonly ready: boolean }[] };
    strictEqual(hosts.filter(host => host.ready).length, SIZES.gateways);
});

function post(url: string, key: string, model: string): Promise<string> {
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
