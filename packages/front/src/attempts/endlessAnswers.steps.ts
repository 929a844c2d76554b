import type { AnswerSink, EngineExchange, EngineRequest } from "@fulmarcleat/directory";
import { createSystemClock } from "@fulmarcleat/ids";
import { createEngineTransport } from "@fulmarcleat/platform";
import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { createAnswerRelay } from "../relayAnswer.js";
import { runExchange } from "../runExchange.js";
import { startForwardPair } from "../startForwardPair.steps.js";
import type { ForwardPair } from "../startForwardPair.steps.js";

const HEAD = "Request-Id: r1\r\nContent-Type: text/event-stream\r\n";
const STARTS: Readonly<Record<string, string>> = {
    "an event": `HTTP/1.1 200 OK\r\n${HEAD}\r\nid: 1\ndata: `,
    "the body of a 200": `HTTP/1.1 200 OK\r\n${HEAD}\r\n`,
    "the body of a 500": `HTTP/1.1 500 Failed\r\n${HEAD}\r\n`,
    "a head": `HTTP/1.1 200 OK\r\n${HEAD}X-Long: `,
};
const FLOOD = Buffer.alloc(65_536, "a");
/** Time after which an exchange that goes on is cancelled, in milliseconds. */
const LIMIT_MS = 1000;

let pair: ForwardPair;
let transport: ReturnType<typeof createEngineTransport>;
let server: Server | undefined;
let send: (req: EngineRequest, sink: AnswerSink) => EngineExchange;
let takenBytes = 0;
let received = "";
let end = "";

function flood(socket: Socket, start: string): void {
    const write = (): void => {
        while (!socket.destroyed && socket.write(FLOOD)) {
            // Writes until the buffer is full.
        }
    };
    socket.on("error", () => undefined);
    socket.on("drain", write);
    socket.write(start);
    write();
}

Given(/^(an engine|another host) sends (.*) without end$/, async (sender: string, part: string) => {
    const start = STARTS[part] ?? "";
    takenBytes = 0;
    pair = await startForwardPair(({ res }) => {
        ok(res.socket !== null);
        flood(res.socket, start);
    });
    transport = createEngineTransport({ connectTimeoutMs: LIMIT_MS, idleMs: LIMIT_MS, idleConnections: 1 });
    const listening = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => flood(socket, start));
    });
    server = listening;
    await new Promise<void>(resolve => listening.listen(0, "127.0.0.1", resolve));
    const { port } = listening.address() as AddressInfo;
    send = sender === "another host"
        ? (req, sink) => pair.send(req, sink)
        : (req, sink) =>
            transport.send({ ...req, target: { ...req.target, address: { ...req.target.address, port } } }, sink);
});

When(/^a client's (resumable stream|request) is run there$/, async (kind: string) => {
    received = "";
    const res = {
        writeHead: () => undefined,
        write: (bytes: Buffer) => {
            received += bytes.toString();
            return true;
        },
        end: () => undefined,
    } as unknown as ServerResponse;
    const result = await runExchange(pair.buildRequest(), {
        transport: {
            send: (req, sink) =>
                send(req, {
                    ...sink,
                    piece(bytes) {
                        takenBytes += bytes.length;
                        return sink.piece(bytes);
                    },
                }),
        },
        clock: createSystemClock(),
        relay: kind === "request"
            ? undefined
            : createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
        signal: AbortSignal.timeout(LIMIT_MS),
        silenceMs: undefined,
        onSilent: () => undefined,
        onAccept: () => undefined,
        onStart: () => undefined,
        onBytes: () => undefined,
        onHead: () => undefined,
    });
    end = result.kind;
});

Then("it ends as {string}, and its client has got nothing", (expected: string) => {
    strictEqual(end, expected);
    strictEqual(received, "");
});

Then(
    "the host has taken at most {int} bytes of its body",
    (most: number) => ok(takenBytes <= most, `${takenBytes} bytes`),
);

After(async () => {
    transport?.close();
    server?.close();
    server = undefined;
    await (pair as ForwardPair | undefined)?.close();
});
