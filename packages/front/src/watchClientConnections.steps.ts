import { createMetrics } from "@fulmarcleat/events";
import type { Metrics } from "@fulmarcleat/events";
import { listen } from "@fulmarcleat/http";
import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import { watchClientConnections } from "./watchClientConnections.js";

let server: Server | undefined;
let port = 0;
let metrics: Metrics;
let received = "";

Given("a server for clients with an idle time of {int} ms", async (idleMs: number) => {
    metrics = createMetrics();
    server = createServer((req, res) => {
        req.resume();
        res.writeHead(204).end();
    });
    server.keepAliveTimeout = idleMs;
    watchClientConnections(server, { log: { write: () => undefined }, metrics });
    port = await listen(server, { host: "127.0.0.1", port: 0 });
});

When("a client sends {string}", async (text: string) => {
    received = "";
    const bytes = text.replaceAll(/\\+r/g, "\r").replaceAll(/\\+n/g, "\n")
        .replace(/\((\d+) times (.)\)/, (whole, times: string, letter: string) => letter.repeat(Number(times)));
    await new Promise<void>(resolve => {
        const socket = connect({ port, host: "127.0.0.1" }, () => socket.write(bytes));
        socket.on("data", chunk => void (received += chunk.toString()));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
    });
});

Then("the connection ends after {string}", (answer: string) => ok(received.startsWith(answer), received));

Then("{string} is counted once", async (reason: string) => {
    const lines = (await metrics.expose()).split("\n").filter(line => line.includes("client_closes_total{"));
    strictEqual(lines.length, 1);
    ok(lines[0]?.includes(`reason="${reason}`) === true && lines[0].endsWith(" 1"), lines[0]);
});

After(() => {
    server?.close();
    server?.closeAllConnections();
    server = undefined;
});
