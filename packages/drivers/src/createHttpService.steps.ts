import { listen } from "@fulmarcleat/http";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { createHttpService } from "./createHttpService.js";
import type { ServiceDriver } from "./serviceDriver.js";

const HEAD = "HTTP/1.1 200 OK\r\n";
const SERVICE_BEHAVIOURS: Readonly<Record<string, (socket: Socket) => void>> = {
    "answers with a content length": socket => void socket.write(`${HEAD}Content-Length: 5\r\n\r\nhello`),
    "answers without a length and closes": socket => void socket.end(`${HEAD}\r\nhello`),
    "answers without a length and resets": socket =>
        void socket.write(`${HEAD}\r\nhello`, () => void socket.resetAndDestroy()),
    "closes before the announced length": socket => void socket.end(`${HEAD}Content-Length: 9\r\n\r\nhello`),
};

let server: Server | undefined;
let service: ServiceDriver | undefined;
let end = "";

Given(/^a plain service that (.*)$/, async (behaviour: string) => {
    server = createServer(socket => {
        socket.on("error", () => undefined);
        const status = /^answers with status (\d+)$/.exec(behaviour)?.[1];
        const answer = `HTTP/1.1 ${status} Odd\r\nContent-Length: 5\r\n\r\nhello`;
        const behave = status === undefined ? SERVICE_BEHAVIOURS[behaviour] : () => void socket.write(answer);
        socket.once("data", () => behave?.(socket));
    });
    const port = await listen(server, { host: "127.0.0.1", port: 0 });
    service = createHttpService({ url: `http://127.0.0.1:${port}`, connectTimeoutMs: 1000 });
});

When("a call is sent to the service", async () => {
    const call = { method: "GET", path: "/", headers: {}, body: new Uint8Array(), freshConnection: false };
    end = await service?.call({ ...call, signal: new AbortController().signal })
        .then(answer => `${answer.status} ${Buffer.from(answer.body).toString()}`, (err: Error) => err.message) ?? "";
});

Then("the call ends with {string}", (expected: string) => strictEqual(end, expected));

After(async () => {
    await service?.close();
    server?.close();
    service = undefined;
});
