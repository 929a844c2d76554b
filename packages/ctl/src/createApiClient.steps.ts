import { After, deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createApiClient } from "./createApiClient.js";
import type { ApiClient } from "./createApiClient.js";

const BOOKMARK = JSON.stringify({ type: "BOOKMARK", resourceVersion: 3 });

let server: Server | undefined;
let client: ApiClient | undefined;
let port = 0;
let lines: string[] = [];
let failure: unknown;

Given("an operator API that sends one bookmark on each watch and then nothing", async () => {
    server = createServer((req, res) => void res.writeHead(200).write(`${BOOKMARK}\n`));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    port = (server.address() as AddressInfo).port;
});

When("a client that accepts {int} ms of silence reads a watch", async (silenceMs: number) => {
    lines = [];
    failure = undefined;
    client = createApiClient({ server: `http://127.0.0.1:${port}`, token: "t" }, { watchSilenceMs: silenceMs });
    try {
        for await (const line of client.watch("watch?")) {
            lines.push(line);
        }
    }
    catch (err) {
        failure = err;
    }
});

Then("it reads the bookmark, and the watch ends with an error", () => {
    deepStrictEqual(lines, [BOOKMARK]);
    ok(failure instanceof Error);
});

After(async () => {
    await client?.close();
    server?.close();
    server?.closeAllConnections();
    client = undefined;
    server = undefined;
});
