import type { AnswerFraming, AnswerSink, EngineRequest } from "@fulmarcleat/directory";
import { listen } from "@fulmarcleat/http";
import { brandId, createManualClock, createSystemClock } from "@fulmarcleat/ids";
import type { EngineId, ManualClock, RequestId } from "@fulmarcleat/ids";
import { createEngineTransport } from "@fulmarcleat/platform";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer as createHttpServer, get } from "node:http";
import type { ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { createAnswerRelay } from "./relayAnswer.js";
import { runExchange } from "./runExchange.js";

const REQUEST_ID = brandId<RequestId>("r1");
const servers: Server[] = [];
let enginePort = 0;
let exchange = "";
let received = "";
let isComplete = false;
let clock: ManualClock;
let silences = 0;
let setTaking: (isTaking: boolean) => void = () => undefined;

Given(
    /^an engine whose stream is "(.*)", its end stated by (\w+), before it closes the connection$/,
    async (text: string, framing: AnswerFraming) => {
        const answer = formatAnswer(unescapeLines(text), framing);
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(answer));
        });
        servers.push(server);
        enginePort = await listen(server, { host: "127.0.0.1", port: 0 });
    },
);

When(/^a client's request is relayed (by whole events|as bytes arrive) from the engine$/, async (how: string) => {
    const transport = createEngineTransport({ connectTimeoutMs: 1000, idleMs: 4000, idleConnections: 4 });
    const server = createHttpServer((clientReq, res) => {
        clientReq.resume();
        const relay = createAnswerRelay(res, {
            sendsCompleteEvents: how === "by whole events",
            isClosing: () => false,
        });
        void runExchange(createRequest(), {
            transport,
            clock: createSystemClock(),
            relay,
            signal: new AbortController().signal,
            silenceMs: undefined,
            onSilent: () => undefined,
            onAccept: () => undefined,
            onStart: () => undefined,
            onBytes: () => undefined,
            onHead: () => undefined,
        }).then(result => {
            exchange = result.kind;
            if (result.kind !== "relayed") {
                relay.abort();
            }
        });
    });
    servers.push(server);
    const port = await listen(server, { host: "127.0.0.1", port: 0 });
    await receive(port);
    transport.close();
});

Then("the exchange ends as {string}", (expected: string) => strictEqual(exchange, expected));

Then(
    /^the client has received "(.*)" as (an incomplete|a complete) response$/,
    (expected: string, completeness: string) => {
        strictEqual(received, unescapeLines(expected));
        strictEqual(isComplete, completeness === "a complete");
    },
);

Given("an exchange whose engine may be silent for {int} ms", (silenceMs: number) => {
    clock = createManualClock(0);
    silences = 0;
    let isTaking = true;
    let drain = (): void => undefined;
    let sink: AnswerSink | undefined;
    const res = {
        writeHead: () => undefined,
        write: () => isTaking,
        once: (event: string, listener: () => void) => void (drain = listener),
    } as unknown as ServerResponse;
    void runExchange(createRequest(), {
        transport: {
            send(req, next) {
                sink = next;
                return { cancel: () => undefined, resume: () => undefined };
            },
        },
        clock,
        relay: createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
        signal: new AbortController().signal,
        silenceMs,
        onSilent: () => void (silences += 1),
        onAccept: () => undefined,
        onStart: () => undefined,
        onBytes: () => undefined,
        onHead: () => undefined,
    });
    sink?.head({
        status: 200,
        framing: "chunks",
        headers: [],
        requestId: REQUEST_ID,
        isNotRun: false,
        load: undefined,
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    });
    setTaking = next => {
        isTaking = next;
        if (isTaking) {
            drain();
        }
        else {
            sink?.piece(Buffer.from("id: 1\n\n"));
        }
    };
});

When("the client takes nothing for {int} ms after the first event", (ms: number) => {
    setTaking(false);
    clock.advance(ms);
});

When("the client takes bytes again and the engine sends none for {int} ms", (ms: number) => {
    setTaking(true);
    clock.advance(ms);
});

Then("the engine has counted as silent {int} times", (count: number) => strictEqual(silences, count));

After(() => servers.splice(0).forEach(server => server.close()));

/** Sends a request and records the text that arrives and whether HTTP calls the response complete. */
function receive(port: number): Promise<void> {
    received = "";
    isComplete = false;
    return new Promise(resolve => {
        get({ host: "127.0.0.1", port }, res => {
            res.on("data", (bytes: Buffer) => void (received += bytes.toString()));
            res.on("error", () => undefined);
            res.on("close", () => {
                isComplete = res.complete;
                resolve();
            });
        }).on("error", () => resolve());
    });
}

function formatAnswer(body: string, framing: AnswerFraming): string {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${REQUEST_ID}\r\nContent-Type: text/event-stream\r\n`;
    switch (framing) {
        case "length":
            return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
        case "chunks":
            return `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
        case "connection_end":
            return `${head}\r\n${body}`;
    }
}

function createRequest(): EngineRequest {
    return {
        target: { id: brandId<EngineId>("i-1"), address: { ip: "127.0.0.1", port: enginePort } },
        requestId: REQUEST_ID,
        method: "GET",
        path: "/",
        headers: ["Host", "h", "Request-Id", REQUEST_ID],
        body: Buffer.alloc(0),
        deadlineMs: 1000,
        account: undefined,
        urgency: undefined,
        version: undefined,
        lastEventId: undefined,
    };
}

function unescapeLines(text: string): string {
    return text.replaceAll(/\\+n/g, "\n").replaceAll(/\\+r/g, "\r");
}
