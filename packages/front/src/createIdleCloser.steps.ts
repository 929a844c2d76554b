import { listen } from "@fulmarcleat/http";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { createIdleCloser } from "./createIdleCloser.js";

/** Time in which a loopback connection delivers what it holds, in milliseconds. */
const SETTLE_MS = 100;
let server: Server | undefined;
let port = 0;
let closeIdle: () => void;
let client: Socket | undefined;
let hasEnded = false;
let contentBytes = 0;

Given(
    "a server for clients that answers {string} with {int} bytes and never answers {string}",
    async (large: string, bytes: number, held: string) => {
        server = createServer((req, res) => {
            req.resume();
            if (req.url === large) {
                res.end(Buffer.alloc(bytes, "x"));
            }
            else if (req.url !== held) {
                res.writeHead(204).end();
            }
        });
        server.keepAliveTimeout = 0;
        closeIdle = createIdleCloser(server);
        port = await listen(server, { host: "127.0.0.1", port: 0 });
    },
);

When("a client sends {string}, reads nothing, and the idle connections are closed", async (text: string) => {
    const socket = connect({ port, host: "127.0.0.1" });
    client = socket;
    hasEnded = false;
    contentBytes = 0;
    socket.on("error", () => undefined);
    socket.on("close", () => void (hasEnded ||= client === socket));
    for (const part of text.split(" then ")) {
        socket.write(part.replaceAll(/\\+r/g, "\r").replaceAll(/\\+n/g, "\n"));
        await setTimeout(SETTLE_MS);
    }
    closeIdle();
    socket.on("data", chunk => void (contentBytes += countContent(chunk)));
    await setTimeout(SETTLE_MS);
});

Then(/^the connection (is open|has ended)$/, (state: string) => strictEqual(hasEnded, state === "has ended"));

Then("the client gets {int} bytes of content", (bytes: number) => strictEqual(contentBytes, bytes));

After(() => {
    client?.destroy();
    server?.close();
    server?.closeAllConnections();
    server = undefined;
});

/** Counts the bytes of a chunk that follow its heads. */
function countContent(chunk: Buffer): number {
    const headEnd = chunk.lastIndexOf("\r\n\r\n");
    return chunk.length - (headEnd < 0 ? 0 : headEnd + 4);
}
