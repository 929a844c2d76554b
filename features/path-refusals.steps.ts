import type { DataTable } from "@fulmarcleat/testing";
import { deepStrictEqual, Given, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { connect } from "node:net";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

const LARGE_BYTES = 0x4000;

interface ErrorText {
    readonly error: {
        readonly code: string;
        readonly message: string;
        readonly step: string;
        readonly peer: string;
        readonly outcome: string;
        readonly request_id: string;
    };
}

Given(
    "a path gateway with headers in {int} ms, bodies in {int} ms and at most {int} bytes",
    async function(this: FleetWorld, headersTimeoutMs: number, bodyTimeoutMs: number, maxBodyBytes: number) {
        await this.stop();
        await this.start({
            gateways: 1,
            engines: 1,
            failureDomains: ["wien-a"],
            gateway: { headersTimeoutMs, bodyTimeoutMs, maxBodyBytes },
        });
        await this.offerAdapter("levy", ["7"], "linz", "urgent", "7");
        await this.fleet.gateways[0]?.configReached(this.fleet.changes);
    },
);

Then("path refusals of caller {string} are:", async function(this: FleetWorld, caller: string, table: DataTable) {
    for (const row of table.hashes()) {
        const init: RequestInit = {
            method: row["method"] ?? "",
            headers: {
                authorization: `Bearer ${this.formatCallerKey(caller)}`,
                ...JSON.parse(row["headers"] ?? "{}") as Record<string, string>,
            },
        };
        const body = row["method"] === "GET" || row["method"] === "DELETE" ? {} : { body: row["body"] ?? "" };
        const answer = await this.call(1, row["path"] ?? "", { ...init, ...body });
        const { error } = JSON.parse(answer.text) as ErrorText;
        const seen = { status: String(answer.status), code: error.code, step: error.step, outcome: error.outcome };
        const wanted = { status: row["status"], code: row["code"], step: row["step"], outcome: "not_run" };
        deepStrictEqual(seen, wanted, `${row["case"]}: ${answer.text}`);
        strictEqual(answer.headers.get("fulmarcleat-outcome"), "not_run");
        strictEqual(answer.headers.get("x-request-id"), error.request_id);
        ok(error.message.length > 0 && error.peer.length > 0, row["case"]);
    }
});

Then("path gateway 1 counted a refusal for each", function(this: FleetWorld) {
    const codes = this.answers.map(answer => (JSON.parse(answer.text) as ErrorText).error.code);
    for (const code of new Set(codes)) {
        const counted = this.fleet.gateways[0]?.metrics.read("refusals_total", { reason: code, outcome: "not_run" });
        strictEqual(counted, codes.filter(other => other === code).length, code);
    }
});

Then("path refusals hold no key", function(this: FleetWorld) {
    for (const answer of this.answers) {
        ok(!/wrong-key-4711|key-of-linz|a2V5LW9mLWxpbno/.test(answer.text), answer.text);
    }
});

Then("path upstreams saw nothing", function(this: FleetWorld) {
    for (const engine of this.fleet.engines) {
        const { runs, orders } = engine.record();
        // A new owner shows its fence by an order that unloads nothing; no request causes it.
        const loads = orders.filter(order => order.order === "load");
        deepStrictEqual({ runs, loads }, { runs: [], loads: [] });
    }
    strictEqual(this.fleet.weights.record().loads, 0);
    deepStrictEqual(this.fleet.service.record(), []);
});

Then("path bytes of caller {string} are refused:", async function(this: FleetWorld, caller: string, table: DataTable) {
    for (const row of table.hashes()) {
        const bytes = (row["bytes"] ?? "").replaceAll("~", "\r\n")
            .replace("AUTH", `authorization: Bearer ${this.formatCallerKey(caller)}`)
            .replace("LARGE", "x".repeat(LARGE_BYTES));
        const text = await exchange(this.fleet.gateways[0]?.url ?? "", bytes);
        const [head = "", body = ""] = text.split("\r\n\r\n");
        strictEqual(head.split(" ")[1], row["status"], `${row["case"]}: ${text}`);
        const { error } = JSON.parse(body) as ErrorText;
        deepStrictEqual([error.code, error.outcome], [row["code"], "not_run"], row["case"]);
    }
});

Then(
    "path models of caller {string} at gateway {int} are {string}",
    async function(this: FleetWorld, caller: string, gateway: number, models: string) {
        const headers = { authorization: `Bearer ${this.formatCallerKey(caller)}` };
        const answer = await this.call(gateway, "/v1/models", { headers });
        const { data } = JSON.parse(answer.text) as { readonly data: readonly { readonly id: string }[] };
        strictEqual(data.map(entry => entry.id).join(","), models);
    },
);

/** Sends bytes and gives everything that comes back until the other end closes. */
function exchange(url: string, bytes: string): Promise<string> {
    const { hostname, port } = new URL(url);
    return new Promise((resolve, reject) => {
        let text = "";
        const socket = connect(Number(port), hostname, () => socket.write(bytes));
        socket.on("data", chunk => {
            text += chunk.toString("utf8");
        });
        socket.on("error", reject);
        socket.on("close", () => resolve(text));
    });
}
