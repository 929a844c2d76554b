import type { EngineAnswerHead, EngineExchange, EngineRequest } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId, RequestId } from "@fulmarcleat/ids";
import { parseClientHead } from "@fulmarcleat/platform";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createForwardTransport } from "./createForwardTransport.js";
import type { ForwardTransport } from "./createForwardTransport.js";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import type { ForwardMark } from "./forwardMark.js";
import { readRetryAfterMs } from "./readRetryAfterMs.js";
import { HELPER, LOCAL, PEER_KEY, startForwardHelper } from "./startForwardHelper.steps.js";
import type { ForwardHelper, HandledRequest } from "./startForwardHelper.steps.js";

/** What has arrived of one answer. */
interface Arrival {
    head: EngineAnswerHead | undefined;
    readonly pieces: Buffer[];
    end: string | undefined;
}

/** Changes to a request and callbacks while its answer arrives. */
interface SendOptions extends Partial<EngineRequest> {
    /** Called after each head; `exchange` is undefined if it arrives within the call that sends the request. */
    readonly onHead?: () => void;
    /** Called after each part of the body; false pauses. */
    readonly onPiece?: () => boolean;
}

const MARK: ForwardMark = {
    from: brandId<HostId>("front-1"),
    sends: 1,
    tried: [brandId<EngineId>("i-1")],
    origin: { service: brandId("chat"), softwareVersion: brandId("4.1") },
};
const TIMEOUTS = { connectTimeoutMs: 1000, idleMs: 4000, idleConnections: 40 };
/** Headers of an engine's answer, with one name twice and names in several cases. */
const ANSWER_HEADERS = ["Request-Id", "r1", "x-Proof", "s=1", "Set-Cookie", "a=1", "Set-Cookie", "b=2"];
const CLIENT_HEADERS = ["host", "a.example", "Request-Id", "r1", "X-Multi", "1", "x-multi", "2", "Model", "m/a"];
const CLIENT_PATH = "/a/b%20c?d=%C3%A9&e=%2F";
/** Interval at which a step looks whether the helping host still writes, in milliseconds. */
const LOOK_MS = 100;

let helper: ForwardHelper;
let transport: ForwardTransport;
let sent: EngineRequest;
let arrival: Arrival;
let exchange: EngineExchange;
let arrived: Promise<void>;
let arrivals: (readonly [string, Arrival])[] = [];
let writtenEvents = 0;
let isWaitingForDrain = false;
let isPaused = false;
let eventCount = 0;
let acknowledge: () => void;
let closed: Promise<string>;
let piecesAtCancel = 0;

async function start(
    serve: (handled: HandledRequest) => void,
    readPeerKey: () => string | undefined = () => PEER_KEY,
): Promise<void> {
    arrivals = [];
    acknowledge = () => undefined;
    helper = await startForwardHelper(serve);
    transport = createForwardTransport({ ...TIMEOUTS, readPeerKey });
}

After(async () => {
    (transport as ForwardTransport | undefined)?.close();
    await (helper as ForwardHelper | undefined)?.close();
});

/** Sends a request; the promise resolves when its exchange has ended or, after a cancel, never. */
function send(options: SendOptions = {}): Promise<void> {
    const { onHead, onPiece, ...changes } = options;
    sent = {
        target: { id: brandId<EngineId>(HELPER), address: { ip: LOCAL, port: helper.port } },
        requestId: brandId<RequestId>("r1"),
        method: "GET",
        path: CLIENT_PATH,
        headers: CLIENT_HEADERS,
        body: Buffer.alloc(0),
        deadlineMs: 5000,
        urgency: 3,
        version: 2,
        lastEventId: undefined,
        ...changes,
    };
    const current: Arrival = { head: undefined, pieces: [], end: undefined };
    arrival = current;
    return new Promise(resolve => {
        const finish = (end: string): void => {
            strictEqual(current.end, undefined, "an exchange ended twice");
            current.end = end;
            resolve();
        };
        exchange = transport.send(sent, MARK, {
            head(head) {
                current.head = head;
                onHead?.();
            },
            piece(bytes) {
                current.pieces.push(Buffer.from(bytes));
                return onPiece?.() ?? true;
            },
            end: () => finish("end"),
            fail: failure => finish(failure.kind),
        });
    });
}

function fill(length: number): Buffer {
    return Buffer.from(Array.from({ length }, (item, at) => (at * 31 + (at >> 8)) % 251));
}

function readBody(from: Arrival): Buffer {
    return Buffer.concat(from.pieces);
}

/** The answers of the table, by how they state their end. */
const ANSWERS: Readonly<Record<string, (res: ServerResponse, bytes: Buffer) => void>> = {
    "a length of": (res, bytes) => {
        res.writeHead(200, [...ANSWER_HEADERS, "Content-Length", String(bytes.length)]);
        res.end(bytes);
    },
    "chunks of": (res, bytes) => {
        const middle = Math.floor(bytes.length / 2);
        res.writeHead(200, ANSWER_HEADERS);
        res.write(bytes.subarray(0, middle));
        res.end(bytes.subarray(middle));
    },
    "no body": res => void res.writeHead(204, ANSWER_HEADERS).end(),
};

Given(
    /^a helping host that answers with (a length of|chunks of|no body)(?: (\d+) bytes)?$/,
    async (how: string, length?: string) => {
        const bytes = fill(Number(length ?? 0));
        await start(({ res }) => {
            res.sendDate = false;
            ANSWERS[how]?.(res, bytes);
        });
    },
);

When(/^the host hands over a (\w+) request with (\d+) bytes$/, async (method: string, length: string) => {
    await send({ method, body: fill(Number(length)) });
});

Then("the helping host has received the request as the client sent it", () => {
    const [handled] = helper.handled;
    ok(handled !== undefined && helper.handled.length === 1);
    const { req, body, mark } = handled;
    deepStrictEqual([req.method, req.url], [sent.method, CLIENT_PATH]);
    deepStrictEqual(parseClientHead(req.rawHeaders).forwarded, CLIENT_HEADERS);
    ok(body.equals(sent.body));
    deepStrictEqual(mark, MARK);
});

Then(
    "the answer has come back with its headers, the framing {string} and {int} bytes",
    (framing: string, length: number) => {
        const { head, end } = arrival;
        strictEqual(end, "end");
        deepStrictEqual(head?.headers.slice(0, ANSWER_HEADERS.length), ANSWER_HEADERS);
        ok(head.headers.slice(ANSWER_HEADERS.length).every((text, at) => at % 2 === 1 || text === "Content-Length"));
        deepStrictEqual([head.framing, head.requestId, head.isNotRun], [framing, "r1", false]);
        ok(readBody(arrival).equals(fill(length)));
    },
);

When(
    "the host hands over a request with {float} ms left that resumes a stream after event {string}",
    async (deadlineMs: number, lastEventId: string) => {
        await send({ deadlineMs, lastEventId });
    },
);

Then(
    "the helping host reads a deadline of {int} ms and the last event {string}",
    (deadlineMs: number, lastEventId: string) => {
        const head = parseClientHead(helper.handled[0]?.req.rawHeaders ?? []);
        deepStrictEqual([head.deadlineMs, head.lastEventId], [deadlineMs, lastEventId]);
    },
);

Then("it has received no more headers than these and the client's", () => {
    const raw = helper.handled[0]?.req.rawHeaders ?? [];
    // The two of the step before, and the connection header that each connection has.
    strictEqual(raw.length, CLIENT_HEADERS.length + 2 * 3);
});

When("the host hands over a request in which the client sent a mark of its own", async () => {
    const forged = [
        "Fulmarcleat-Forward",
        "e30",
        "FULMARCLEAT-FORWARD-MAC",
        "00",
        MARK_HEADER,
        "",
        MARK_MAC_HEADER,
        "",
    ];
    await send({ headers: [...forged.slice(0, 4), ...CLIENT_HEADERS, ...forged.slice(4)] });
});

Then("the helping host has received the mark of the host", () => {
    deepStrictEqual(helper.handled.map(({ mark }) => mark), [MARK]);
    deepStrictEqual(parseClientHead(helper.handled[0]?.req.rawHeaders ?? []).forwarded, CLIENT_HEADERS);
});

function formatEvent(at: number, length = 0): string {
    return `id: ${at}\ndata: ${String(at).padEnd(length, "x")}\n\n`;
}

Given("a helping host that writes each event once the last has arrived", async () => {
    await start(({ res }) => {
        const write = (at: number): void => {
            if (at === eventCount) {
                res.end();
                return;
            }
            acknowledge = () => write(at + 1);
            res.write(formatEvent(at));
        };
        res.writeHead(200, ANSWER_HEADERS);
        write(0);
    });
});

When("the host hands over a request for a stream of {int} events", async (count: number) => {
    eventCount = count;
    await send({
        onPiece() {
            acknowledge();
            return true;
        },
    });
});

Then("the stream has arrived whole", () => {
    strictEqual(arrival.end, "end");
    const expected = Array.from({ length: eventCount }, (item, at) => formatEvent(at)).join("");
    strictEqual(readBody(arrival).toString(), expected);
});

let eventLength = 0;

async function writeEvents(res: ServerResponse): Promise<void> {
    let goOn: () => void = () => undefined;
    res.on("drain", () => goOn());
    res.on("close", () => goOn());
    res.writeHead(200, ANSWER_HEADERS);
    for (writtenEvents = 0; writtenEvents < eventCount && !res.closed; writtenEvents += 1) {
        if (!res.write(formatEvent(writtenEvents, eventLength))) {
            isWaitingForDrain = true;
            await new Promise<void>(resolve => {
                goOn = resolve;
            });
            isWaitingForDrain = false;
        }
    }
    res.end();
}

Given(
    "a helping host that writes {int} events of {int} bytes, each once the connection takes more",
    async (count: number, length: number) => {
        eventCount = count;
        eventLength = length;
        await start(({ res }) => void writeEvents(res));
    },
);

function sendPaused(): void {
    isPaused = true;
    arrived = send({ onPiece: () => !isPaused });
}

/** Waits until the helping host waits for the connection and has written nothing for a while. */
async function waitForStandstill(): Promise<void> {
    for (let before = -1; !isWaitingForDrain || writtenEvents !== before;) {
        before = writtenEvents;
        await sleep(LOOK_MS);
    }
}

When("the host hands over a request and stops reading at the first event", sendPaused);

Then("the helping host comes to a stop before the end", async () => {
    await waitForStandstill();
    ok(writtenEvents < eventCount, `all ${eventCount} events were written`);
    strictEqual(arrival.pieces.length, 1);
    ok((helper.handled[0]?.res.writableLength ?? Infinity) < 4 * eventLength);
});

When("the host reads on", async () => {
    isPaused = false;
    exchange.resume();
    await arrived;
});

Then("all events have arrived in order", () => {
    strictEqual(arrival.end, "end");
    const expected = Array.from({ length: eventCount }, (item, at) => formatEvent(at, eventLength)).join("");
    ok(readBody(arrival).equals(Buffer.from(expected)));
});

const BREAKS: Readonly<Record<string, (res: ServerResponse) => void>> = {
    "closes the connection without an answer": res => void res.destroy(),
    "breaks off within a length": res => {
        acknowledge = () => void res.destroy();
        res.writeHead(200, [...ANSWER_HEADERS, "Content-Length", "9"]).write("hello");
    },
    "breaks off between chunks": res => {
        acknowledge = () => void res.destroy();
        res.writeHead(200, ANSWER_HEADERS).write("hello");
    },
};

Given(/^a helping host that ((?:closes the|breaks off).*)$/, async (how: string) => {
    await start(({ res }) => BREAKS[how]?.(res));
});

Given("a helping host that does not listen", async () => {
    await start(() => undefined);
    await helper.close();
});

Given("a helping host that this host has no key for", async () => {
    await start(({ res }) => void res.end(), () => undefined);
});

When("the host hands over a request", async () => {
    await send({
        onPiece() {
            acknowledge();
            return true;
        },
    });
});

Then("the handover ends as {string} after {string}", (kind: string, text: string) => {
    strictEqual(arrival.end, kind);
    strictEqual(readBody(arrival).toString(), text);
    strictEqual(helper.handled.length, kind === "unsent" ? 0 : 1);
});

Given(
    /^a helping host that answers (before the answer's head|within the answer|while it does not read)$/,
    async (when: string) => {
        eventCount = 4096;
        eventLength = 16_384;
        let announceClose: (end: string) => void = () => undefined;
        closed = new Promise(resolve => {
            announceClose = resolve;
        });
        await start(({ res }) => {
            res.on("close", () => announceClose(res.writableFinished ? "finished" : "closed"));
            switch (when) {
                case "before the answer's head":
                    exchange.cancel();
                    return;
                case "within the answer":
                    res.writeHead(200, ANSWER_HEADERS).write("hello");
                    return;
                default:
                    void writeEvents(res);
            }
        });
    },
);

When(/^the host hands over a request and cancels it (.*)$/, async (when: string) => {
    switch (when) {
        case "before the answer's head":
            void send();
            return;
        case "within the answer":
            void send({
                onPiece() {
                    cancel();
                    return true;
                },
            });
            return;
        default:
            sendPaused();
            await waitForStandstill();
            cancel();
    }
});

function cancel(): void {
    exchange.cancel();
    piecesAtCancel = arrival.pieces.length;
}

Then("the helping host's response closes before its end, and the host hears no more of it", async () => {
    strictEqual(await closed, "closed");
    strictEqual(arrival.end, undefined);
    strictEqual(arrival.pieces.length, piecesAtCancel);
});

Given(
    "a helping host that refuses with {int}, the outcome {string} and a time of {string}",
    async (status: number, outcome: string, retryAfter: string) => {
        await start(({ res }) => {
            const time = retryAfter === "" ? [] : ["Retry-After", retryAfter];
            res.writeHead(status, ["Content-Type", "application/json", "Fulmarcleat-Outcome", outcome, ...time]).end(
                "{}",
            );
        });
    },
);

Then(
    /^the head states (true|false) as not run, the request's own id and a time of (\d+|undefined)$/,
    (isNotRun: string, ms: string) => {
        const { head, end } = arrival;
        ok(end === "end" && head !== undefined);
        deepStrictEqual([String(head.isNotRun), head.requestId], [isNotRun, "r1"]);
        strictEqual(String(readRetryAfterMs(head.headers)), ms);
    },
);

Then("no header that a client gets names an outcome", () => {
    ok(arrival.head?.headers.every(text => !/outcome/i.test(text)));
});

Given("a helping host that passes on an engine's answer with status {int}", async (status: number) => {
    await start(({ res }) => {
        const load = ["server-load", "3,0,8", "Server-Limit", "2", "instance-id", "i-7"];
        res.writeHead(status, [...ANSWER_HEADERS, ...load]).end("hello");
    });
});

Then(
    "the head is of the engine's answer with status {int}, without load, limit or engine",
    (status: number) => {
        const { head, end } = arrival;
        strictEqual(end, "end");
        deepStrictEqual([head?.status, head?.isNotRun, head?.requestId], [status, false, "r1"]);
        deepStrictEqual([head?.load, head?.limit, head?.instance], [undefined, { kind: "none" }, undefined]);
        strictEqual(readBody(arrival).toString(), "hello");
    },
);

When("the host hands over a request for {string} at its address", async (host: string) => {
    await send({ target: { id: brandId<EngineId>(host), address: { ip: LOCAL, port: helper.port } } });
});

Then("the helping host has handled nothing", () => strictEqual(helper.handled.length, 0));

/** What the helping host does as a request's path asks. */
const ASKED: Readonly<Record<string, (res: ServerResponse, id: string) => void>> = {
    length: (res, id) => void res.writeHead(200, ["Request-Id", id, "Content-Length", String(id.length)]).end(id),
    chunks: (res, id) => {
        res.writeHead(200, ["Request-Id", id]).write(id.slice(0, 1));
        setImmediate(() => res.end(id.slice(1)));
    },
    none: (res, id) => void res.writeHead(204, ["Request-Id", id]).end(),
    refusal: res => void res.writeHead(503, ["fulmarcleat-outcome", "not_run"]).end(),
    break: (res, id) => {
        res.writeHead(200, ["Request-Id", id, "Content-Length", "99"]).write(id);
        setImmediate(() => res.destroy());
    },
};

Given("a helping host that answers as each request asks", async () => {
    await start(({ req, res, body }) => ASKED[req.url?.slice(1) ?? ""]?.(res, body.toString()));
});

async function ask(kind: string, id: string, isCancelled = false): Promise<void> {
    let cancel: () => void = () => undefined;
    let giveUp: () => void = () => undefined;
    const cancelled = new Promise<void>(resolve => {
        giveUp = resolve;
    });
    const done = send({
        requestId: brandId<RequestId>(id),
        method: "POST",
        path: `/${kind}`,
        headers: ["Host", "a.example", "Request-Id", id],
        body: Buffer.from(id),
        onHead: () => isCancelled && cancel(),
    });
    const own = exchange;
    arrivals.push([id, arrival]);
    cancel = () => {
        own.cancel();
        giveUp();
    };
    await Promise.race([done, cancelled]);
}

When("the host hands over {string} one after another", async (kinds: string) => {
    for (const [at, kind] of kinds.split(", ").entries()) {
        await ask(kind, `request-${at}`);
        strictEqual(arrival.end, "end");
    }
});

When(
    "the host hands over {int} times {int} requests at once, some of which it cancels and some of which break",
    async (times: number, count: number) => {
        const kinds = Object.keys(ASKED);
        for (let time = 0; time < times; time += 1) {
            await Promise.all(
                Array.from(
                    { length: count },
                    (item, at) => ask(kinds[at % kinds.length] ?? "", `request-${time}-${at}`, at % 7 === 0),
                ),
            );
        }
        strictEqual(arrivals.length, times * count);
    },
);

Then("each answer belongs to its request", () => {
    let whole = 0;
    arrivals.forEach(([id, { head, end, pieces }]) => {
        strictEqual(head?.requestId, id);
        ok(id.startsWith(Buffer.concat(pieces).toString()));
        if (end === "end" && head.status === 200) {
            whole += 1;
            strictEqual(Buffer.concat(pieces).toString(), id);
        }
    });
    ok(whole > 0);
});

Then("{int} connection has carried them", (count: number) => {
    strictEqual(new Set(helper.handled.map(({ req }) => req.socket.remotePort)).size, count);
});
