import type { DataTable } from "@fulmarcleat/testing";
import { deepStrictEqual, Given, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { connect } from "node:net";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

/** Size of a header or chunk that exceeds the gateway's limits, in bytes. */
const LARGE_BYTES = 0x4000;

interface ErrorBody {
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
    "a gateway that receives headers within {int} ms, bodies in {int} ms and at most {int} bytes",
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

Then("the refusals of caller {string} are:", async function(this: FleetWorld, caller: string, table: DataTable) {
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
        const { error } = JSON.parse(answer.text) as ErrorBody;
        const actual = { status: String(answer.status), code: error.code, step: error.step, outcome: error.outcome };
        const expected = { status: row["status"], code: row["code"], step: row["step"], outcome: "not_run" };
        deepStrictEqual(actual, expected, `${row["case"]}: ${answer.text}`);
        strictEqual(answer.headers.get("fulmarcleat-outcome"), "not_run");
        strictEqual(answer.headers.get("x-request-id"), error.request_id);
        ok(error.message.length > 0 && error.peer.length > 0, row["case"]);
    }
});

Then("gateway 1 counted each refusal", function(this: FleetWorld) {
    const codes = this.answers.map(answer => (JSON.parse(answer.text) as ErrorBody).error.code);
    for (const code of new Set(codes)) {
        const refusalCount = this.fleet.gateways[0]?.metrics.read("refusals_total", {
            reason: code,
            outcome: "not_run",
        });
        strictEqual(refusalCount, codes.filter(other => other === code).length, code);
    }
});

Then("the refusals contain no key", function(this: FleetWorld) {
    for (const answer of this.answers) {
        ok(!/wrong-key-4711|key-of-linz|a2V5LW9mLWxpbno/.test(answer.text), answer.text);
    }
});

Then("no upstream received a request", function(this: FleetWorld) {
    for (const engine of this.fleet.engines) {
        const { runs, orders } = engine.record();
        // Only loads are compared: a new owner presents its fencing token with an order that unloads nothing,
        // without any request.
        const loads = orders.filter(order => order.order === "load");
        deepStrictEqual({ runs, loads }, { runs: [], loads: [] });
    }
    strictEqual(this.fleet.weights.record().loads, 0);
    deepStrictEqual(this.fleet.service.record(), []);
});

Then(
    "the bytes sent by caller {string} are refused:",
    async function(this: FleetWorld, caller: string, table: DataTable) {
        for (const row of table.hashes()) {
            const bytes = (row["bytes"] ?? "").replaceAll("~", "\r\n")
                .replace("AUTH", `authorization: Bearer ${this.formatCallerKey(caller)}`)
                .replace("LARGE", "x".repeat(LARGE_BYTES));
            const text = await sendBytes(this.fleet.gateways[0]?.url ?? "", bytes);
            const [head = "", body = ""] = text.split("\r\n\r\n");
            strictEqual(head.split(" ")[1], row["status"], `${row["case"]}: ${text}`);
            const { error } = JSON.parse(body) as ErrorBody;
            deepStrictEqual([error.code, error.outcome], [row["code"], "not_run"], row["case"]);
        }
    },
);

Then(
    "the models listed for caller {string} at gateway {int} are {string}",
    async function(this: FleetWorld, caller: string, gateway: number, models: string) {
        const headers = { authorization: `Bearer ${this.formatCallerKey(caller)}` };
        const answer = await this.call(gateway, "/v1/models", { headers });
        const { data } = JSON.parse(answer.text) as { readonly data: readonly { readonly id: string }[] };
        strictEqual(data.map(entry => entry.id).join(","), models);
    },
);

/** Sends bytes and returns everything received until the other side closes the connection. */
function sendBytes(url: string, bytes: string): Promise<string> {
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
