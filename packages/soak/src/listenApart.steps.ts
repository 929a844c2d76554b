import { After, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { listenApart } from "./listenApart.js";

let servers: readonly Server[] = [];
let ports: readonly number[] = [];

When("{int} servers listen apart", async (count: number) => {
    servers = Array.from({ length: count }, () => createServer());
    ports = await Promise.all(servers.map(listenApart));
});

Then("each has a port of its own below {int}", (limit: number) => {
    ok(ports.every(port => port < limit), ports.join());
    strictEqual(new Set(ports).size, servers.length);
});

After(() => {
    servers.forEach(server => server.close());
    servers = [];
});
