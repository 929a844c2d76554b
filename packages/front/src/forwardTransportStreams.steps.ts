import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { startForwardPair } from "./startForwardPair.steps.js";
import type { ForwardPair, Handover } from "./startForwardPair.steps.js";

/** Interval at which a step looks whether the helping host still writes, in milliseconds. */
const LOOK_MS = 100;
const ANSWER_HEADERS = ["Request-Id", "r1"];

let pair: ForwardPair;
let handover: Handover;
let eventCount = 0;
let eventLength = 0;
let writtenEvents = 0;
let isWaitingForDrain = false;
let isPaused = false;
let acknowledge: () => void = () => undefined;
let closed: Promise<string>;
let piecesAtCancel = 0;

After(() => (pair as ForwardPair | undefined)?.close());

function formatEvent(at: number, length = 0): string {
    return `id: ${at}\ndata: ${String(at).padEnd(length, "x")}\n\n`;
}

Given("a helping host that writes each event once the last has arrived", async () => {
    pair = await startForwardPair(({ res }) => {
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
    handover = pair.handOver({
        onPiece() {
            acknowledge();
            return true;
        },
    });
    await handover.done;
});

Then("the stream has arrived whole", () => {
    strictEqual(handover.end, "end");
    const expected = Array.from({ length: eventCount }, (item, at) => formatEvent(at)).join("");
    strictEqual(Buffer.concat(handover.pieces).toString(), expected);
});

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
        pair = await startForwardPair(({ res }) => void writeEvents(res));
    },
);

function handOverPaused(): void {
    isPaused = true;
    writtenEvents = 0;
    handover = pair.handOver({ onPiece: () => !isPaused });
}

/** Waits until the helping host waits for the connection and has written nothing for a while, or has written all. */
async function waitForStandstill(): Promise<void> {
    for (let before = -1; writtenEvents < eventCount && (!isWaitingForDrain || writtenEvents !== before);) {
        before = writtenEvents;
        await sleep(LOOK_MS);
    }
}

When("the host hands over a request and stops reading at the first event", handOverPaused);

Then("the helping host comes to a stop before the end", async () => {
    await waitForStandstill();
    ok(writtenEvents < eventCount, `all ${eventCount} events were written`);
    strictEqual(handover.pieces.length, 1);
    ok((pair.helper.handled[0]?.res.writableLength ?? Infinity) < 4 * eventLength);
});

When("the host reads on", async () => {
    isPaused = false;
    handover.exchange?.resume();
    await handover.done;
});

Then("all events have arrived in order", () => {
    strictEqual(handover.end, "end");
    const expected = Array.from({ length: eventCount }, (item, at) => formatEvent(at, eventLength)).join("");
    ok(Buffer.concat(handover.pieces).equals(Buffer.from(expected)));
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
    "resets without a length": res => {
        acknowledge = () => void res.socket?.resetAndDestroy();
        res.socket?.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhello");
    },
    "answers with status 600": res =>
        void res.socket?.write("HTTP/1.1 600 Odd\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello"),
};

Given(/^a helping host that ((?:closes the|breaks off|resets|answers with status).*)$/, async (how: string) => {
    pair = await startForwardPair(({ res }) => BREAKS[how]?.(res));
});

Given("a helping host that does not listen", async () => {
    pair = await startForwardPair(() => undefined);
    await pair.helper.close();
});

Given("a helping host that this host has no key for", async () => {
    pair = await startForwardPair(({ res }) => void res.end(), () => undefined);
});

When("the host hands over a request for a stream", async () => {
    handover = pair.handOver({
        onPiece() {
            acknowledge();
            return true;
        },
    });
    await handover.done;
});

Then("the handover ends as {string} after {string}", (kind: string, text: string) => {
    strictEqual(handover.end, kind);
    strictEqual(Buffer.concat(handover.pieces).toString(), text);
    strictEqual(pair.helper.handled.length, kind === "unsent" ? 0 : 1);
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
        pair = await startForwardPair(({ res }) => {
            res.on("close", () => announceClose(res.writableFinished ? "finished" : "closed"));
            switch (when) {
                case "before the answer's head":
                    cancel();
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
            handover = pair.handOver();
            return;
        case "within the answer":
            handover = pair.handOver({
                onPiece() {
                    cancel();
                    return true;
                },
            });
            return;
        default:
            handOverPaused();
            await waitForStandstill();
            cancel();
    }
});

function cancel(): void {
    handover.cancel();
    piecesAtCancel = handover.pieces.length;
}

Then("the helping host's response closes before its end, and the host hears no more of it", async () => {
    strictEqual(await closed, "closed");
    strictEqual(handover.end, undefined);
    strictEqual(handover.pieces.length, piecesAtCancel);
});
