import type { EngineRequest, EngineTransport } from "@fulmarcleat/directory";
import { listen } from "@fulmarcleat/http";
import { brandId, createSystemClock } from "@fulmarcleat/ids";
import type { EngineId, RequestId } from "@fulmarcleat/ids";
import { createEngineTransport } from "@fulmarcleat/platform";
import { formatRefusal } from "@fulmarcleat/platform-standin";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { runExchange } from "./runExchange.js";

/** Time in which bytes that an engine writes unasked arrive, in milliseconds. */
const ARRIVAL_MS = 60;
const ID_HEADER = /^request-id: (\S+)\r$/im;

let server: Server | undefined;
let transport: EngineTransport | undefined;
let port = 0;
let connections = 0;
let end = "";

Given(
    /^a refusing engine, status (\d+) (with an id|without id), that answers the next request on the connection with (.*)$/,
    async (status: string, id: string, next: string) => {
        connections = 0;
        transport = createEngineTransport({ connectTimeoutMs: 1000, idleMs: 4000, idleConnections: 4 });
        const refuse = (requestId: string): string =>
            formatRefusal(Number(status), id === "with an id" ? requestId : undefined);
        server = createServer(socket => {
            connections += 1;
            let first: string | undefined;
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                const requestId = ID_HEADER.exec(bytes.toString())?.[1] ?? "";
                if (first === undefined) {
                    first = refuse(requestId);
                    socket.write(next === "nothing, but a copy before it" ? first + first : first);
                    return;
                }
                answerNext(socket, next, { copy: first, own: refuse(requestId), requestId });
            });
        });
        port = await listen(server, { host: "127.0.0.1", port: 0 });
    },
);

When("request {string} and then request {string} are sent to the engine", async (first: string, second: string) => {
    await send(first);
    await setTimeout(ARRIVAL_MS);
    end = await send(second);
});

Then("the second exchange ends as {string} after {int} connections", (expected: string, count: number) => {
    strictEqual(end, expected);
    strictEqual(connections, count);
});

After(() => {
    transport?.close();
    server?.close();
});

/** Refusals that an engine may write, and the id of the request that it has read. */
interface Refusals {
    readonly copy: string;
    readonly own: string;
    readonly requestId: string;
}

function answerNext(socket: Socket, next: string, { copy, own, requestId }: Refusals): void {
    switch (next) {
        case "a copy of that refusal":
            socket.write(copy);
            return;
        case "a copy in two parts":
            socket.write(copy.slice(0, 20));
            void setTimeout(ARRIVAL_MS).then(() => socket.write(copy.slice(20)));
            return;
        case "a copy and its own answer":
            socket.write(`${copy}HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`);
            return;
        case "a refusal of it":
            socket.write(own);
            return;
        default:
            throw new Error(`unknown answer: ${next}`);
    }
}

async function send(id: string): Promise<string> {
    if (transport === undefined) {
        throw new Error("no engine");
    }
    const result = await runExchange(createRequest(id), {
        transport,
        clock: createSystemClock(),
        relay: undefined,
        signal: new AbortController().signal,
        silenceMs: undefined,
        onSilent: () => undefined,
        onAccept: () => undefined,
        onStart: () => undefined,
        onBytes: () => undefined,
        onHead: () => undefined,
    });
    return result.kind;
}

function createRequest(id: string): EngineRequest {
    return {
        target: { id: brandId<EngineId>("i-1"), address: { ip: "127.0.0.1", port } },
        requestId: brandId<RequestId>(id),
        method: "POST",
        path: "/",
        headers: ["Host", "h", "Request-Id", id],
        body: Buffer.from("{}"),
        deadlineMs: 1000,
        account: undefined,
        urgency: undefined,
        version: undefined,
        lastEventId: undefined,
    };
}
