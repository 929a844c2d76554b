import type { AnswerSink, EngineRequest } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId, RequestId } from "@fulmarcleat/ids";
import { parseAnswerHead, parseClientHead } from "@fulmarcleat/platform";
import { ENGINE_STATE_HEADERS, listEngineHeaders } from "@fulmarcleat/platform-standin";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { MARK_HEADER, MARK_MAC_HEADER } from "./forwardMark.js";
import { nameLeavingEngine } from "./nameLeavingEngine.js";
import { readRetryAfterMs } from "./readRetryAfterMs.js";
import { LOCAL } from "./startForwardHelper.steps.js";
import { CLIENT_HEADERS, CLIENT_PATH, MARK, startForwardPair } from "./startForwardPair.steps.js";
import type { ForwardPair, Handover } from "./startForwardPair.steps.js";

/** Headers of an engine's answer, with one name twice and names in several cases. */
const ANSWER_HEADERS = ["Request-Id", "r1", "x-Proof", "s=1", "Set-Cookie", "a=1", "Set-Cookie", "b=2"];

let pair: ForwardPair;
let handover: Handover;
let handovers: Handover[] = [];

After(() => (pair as ForwardPair | undefined)?.close());

function fill(length: number): Buffer {
    return Buffer.from(Array.from({ length }, (item, at) => (at * 31 + (at >> 8)) % 251));
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
        pair = await startForwardPair(({ res }) => {
            res.sendDate = false;
            ANSWERS[how]?.(res, bytes);
        });
    },
);

Given(
    /^a helping host whose engine "(.*)" says that it (leaves|stays)$/,
    async (engine: string, says: string) => {
        const sayings = { requestId: "r1", isNotRun: false, isLeaving: says === "leaves", retryAfter: undefined };
        pair = await startForwardPair(({ res }) => {
            const sink: Pick<AnswerSink, "head"> = {
                head: ({ headers }) => void res.writeHead(200, [...headers]).end(),
            };
            const transport = nameLeavingEngine({
                send(req, { head }) {
                    head(parseAnswerHead(200, listEngineHeaders(sayings)));
                    return { cancel: () => undefined, resume: () => undefined };
                },
            });
            transport.send({ target: { id: engine } } as unknown as EngineRequest, sink as AnswerSink);
        });
    },
);

Then(
    "the head names {string} as the engine that leaves, and clients get the engine's headers only",
    (known: string) => {
        const { head } = handover;
        deepStrictEqual([head?.instance ?? "none", head?.notice?.isLeaving === true], [known, known !== "none"]);
        const names = head?.headers.filter((text, at) => at % 2 === 0).map(name => name.toLowerCase()) ?? [];
        ok(!names.some(name => name.startsWith("fulmarcleat")), names.join(" "));
    },
);

When(/^the host hands over a (\w+) request with (\d+) bytes$/, async (method: string, length: string) => {
    handover = pair.handOver({ method, body: fill(Number(length)) });
    await handover.done;
});

Then("the helping host has received the request as the client sent it", () => {
    const [handled] = pair.helper.handled;
    ok(handled !== undefined && pair.helper.handled.length === 1);
    const { req, body, mark } = handled;
    deepStrictEqual([req.method, req.url], [handover.request.method, CLIENT_PATH]);
    deepStrictEqual(parseClientHead(req.rawHeaders).forwarded, CLIENT_HEADERS);
    ok(body.equals(handover.request.body));
    deepStrictEqual(mark, MARK);
});

Then(
    "the answer has come back with its headers, the framing {string} and {int} bytes",
    (framing: string, length: number) => {
        const { head, end } = handover;
        strictEqual(end, "end");
        deepStrictEqual(head?.headers.slice(0, ANSWER_HEADERS.length), ANSWER_HEADERS);
        ok(head.headers.slice(ANSWER_HEADERS.length).every((text, at) => at % 2 === 1 || text === "Content-Length"));
        deepStrictEqual([head.framing, head.requestId, head.isNotRun], [framing, "r1", false]);
        ok(Buffer.concat(handover.pieces).equals(fill(length)));
    },
);

When(
    "the host hands over a request with {float} ms left that resumes a stream after event {string}",
    async (deadlineMs: number, lastEventId: string) => {
        handover = pair.handOver({ deadlineMs, lastEventId });
        await handover.done;
    },
);

Then(
    "the helping host reads a deadline of {int} ms and the last event {string}",
    (deadlineMs: number, lastEventId: string) => {
        const head = parseClientHead(pair.helper.handled[0]?.req.rawHeaders ?? []);
        deepStrictEqual([head.deadlineMs, head.lastEventId], [deadlineMs, lastEventId]);
    },
);

Then("it has received no more headers than these and the client's", () => {
    const raw = pair.helper.handled[0]?.req.rawHeaders ?? [];
    // The two of the step before, and the connection header that each connection has.
    strictEqual(raw.length, CLIENT_HEADERS.length + 2 * 3);
});

When("the host hands over a request whose client sent a header of {int} bytes", async (length: number) => {
    handover = pair.handOver({ headers: [...CLIENT_HEADERS, "X-Long", "x".repeat(length)] });
    await handover.done;
});

Then("the helping host has received the mark of the host and the header of {int} bytes", (length: number) => {
    deepStrictEqual(pair.helper.handled.map(({ mark }) => mark), [MARK]);
    strictEqual(pair.helper.handled[0]?.req.headers["x-long"], "x".repeat(length));
});

When("the host hands over a request in which the client sent a mark of its own", async () => {
    const first = ["Fulmarcleat-Forward", "e30", "FULMARCLEAT-FORWARD-MAC", "00"];
    const last = [MARK_HEADER, "", MARK_MAC_HEADER, ""];
    handover = pair.handOver({ headers: [...first, ...CLIENT_HEADERS, ...last] });
    await handover.done;
});

Then("the helping host has received the mark of the host", () => {
    deepStrictEqual(pair.helper.handled.map(({ mark }) => mark), [MARK]);
    deepStrictEqual(parseClientHead(pair.helper.handled[0]?.req.rawHeaders ?? []).forwarded, CLIENT_HEADERS);
});

Given(
    "a helping host that refuses with {int}, the outcome {string} and a time of {string}",
    async (status: number, outcome: string, retryAfter: string) => {
        pair = await startForwardPair(({ res }) => {
            const time = retryAfter === "" ? [] : ["Retry-After", retryAfter];
            res.writeHead(status, ["Content-Type", "application/json", "Fulmarcleat-Outcome", outcome, ...time]);
            res.end("{}");
        });
    },
);

Then(
    /^the head states (true|false) as not run, the request's own id and a time of (\d+|undefined)$/,
    (isNotRun: string, ms: string) => {
        const { head, end } = handover;
        ok(end === "end" && head !== undefined);
        deepStrictEqual([String(head.isNotRun), head.requestId], [isNotRun, "r1"]);
        strictEqual(String(readRetryAfterMs(head.headers)), ms);
    },
);

Then("no header that a client gets names an outcome", () => {
    ok(handover.head?.headers.every(text => !/outcome/i.test(text)));
});

Given("a helping host that passes on an engine's answer with status {int}", async (status: number) => {
    pair = await startForwardPair(({ res }) => {
        res.writeHead(status, [...ANSWER_HEADERS, ...ENGINE_STATE_HEADERS]).end("hello");
    });
});

Then(
    "the head is of the engine's answer with status {int}, without load, limit or engine",
    (status: number) => {
        const { head, end } = handover;
        strictEqual(end, "end");
        deepStrictEqual([head?.status, head?.isNotRun, head?.requestId], [status, false, "r1"]);
        deepStrictEqual([head?.load, head?.limit, head?.instance], [undefined, { kind: "none" }, undefined]);
        strictEqual(Buffer.concat(handover.pieces).toString(), "hello");
    },
);

When("the host hands over a request to it", async () => {
    handover = pair.handOver();
    await handover.done;
});

When("the host hands over a request for {string} at its address", async (host: string) => {
    handover = pair.handOver({
        target: { id: brandId<EngineId>(host), address: { ip: LOCAL, port: pair.helper.port } },
    });
    await handover.done;
});

Then("the helping host has handled nothing", () => strictEqual(pair.helper.handled.length, 0));

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
    handovers = [];
    pair = await startForwardPair(({ req, res, body }) => ASKED[req.url?.slice(1) ?? ""]?.(res, body.toString()));
});

async function ask(kind: string, id: string, isCancelled = false): Promise<void> {
    handover = pair.handOver({
        requestId: brandId<RequestId>(id),
        method: "POST",
        path: `/${kind}`,
        headers: ["Host", "a.example", "Request-Id", id],
        body: Buffer.from(id),
        onHead: asked => isCancelled && asked.cancel(),
    });
    handovers.push(handover);
    await handover.done;
}

When("the host hands over {string} one after another", async (kinds: string) => {
    for (const [at, kind] of kinds.split(", ").entries()) {
        await ask(kind, `request-${at}`);
        strictEqual(handover.end, "end");
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
        strictEqual(handovers.length, times * count);
    },
);

Then("each answer belongs to its request", () => {
    let whole = 0;
    handovers.forEach(({ request, head, end, pieces }) => {
        const text = Buffer.concat(pieces).toString();
        strictEqual(head?.requestId, request.requestId);
        ok(request.requestId.startsWith(text));
        if (end === "end" && head.status === 200) {
            whole += 1;
            strictEqual(text, request.requestId);
        }
    });
    ok(whole > 0);
});

Then("{int} connection has carried them", (count: number) => {
    strictEqual(new Set(pair.helper.handled.map(({ req }) => req.socket.remotePort)).size, count);
});
