import type { EngineAnswerHead } from "@fulmarcleat/directory";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { setImmediate } from "node:timers/promises";
import { createAnswerRelay } from "./relayAnswer.js";
import type { AnswerRelay } from "./relayAnswer.js";

const RESUME = "RESUME";
let relay: AnswerRelay;
let sent = "";
let sentHeaders: readonly string[] = [];
let isResponseEnded = false;
let drained = 0;
let finishHold: (isSent: boolean) => void = () => undefined;

const HEAD = {
    status: 200,
    framing: "chunks",
    headers: [],
    requestId: undefined,
    isNotRun: false,
    load: undefined,
    limit: { kind: "none" },
    instance: undefined,
    notice: undefined,
} satisfies EngineAnswerHead;

Given(/^a relay that sends (all bytes|complete events)$/, (how: string) => {
    sent = "";
    isResponseEnded = false;
    drained = 0;
    const res = {
        destroyed: false,
        end() {
            isResponseEnded = true;
        },
        writeHead(status: number, headers: readonly string[]) {
            sentHeaders = headers;
        },
        write(bytes: Buffer) {
            sent += bytes.toString();
            return true;
        },
    } as unknown as ServerResponse;
    relay = createAnswerRelay(res, { sendsCompleteEvents: how === "complete events", isClosing: () => false });
});

When("the relay receives {string} and then {string}", (first: string, second: string) => {
    relay.begin(HEAD);
    for (const text of [first, second]) {
        if (text.startsWith(RESUME)) {
            relay.discardPartialEvent();
        }
        const bytes = Buffer.from(unescapeLines(text.replace(RESUME, "")));
        if (bytes.length > 0) {
            relay.write(bytes);
        }
    }
});

When(
    "the relay receives a head with the headers {string} and the event {string}",
    (headers: string, event: string) => {
        relay.begin({ ...HEAD, headers: headers.split(", ").flatMap(header => header.split(": ")) });
        relay.write(Buffer.from(unescapeLines(event)));
    },
);

When("the first event {string} is held, and {string} follows", (first: string, rest: string) => {
    const hold = new Promise<boolean>(resolve => {
        finishHold = resolve;
    });
    const beforeStart = (): Promise<boolean> => hold;
    relay.begin(HEAD);
    relay.write(Buffer.from(unescapeLines(first)), beforeStart);
    relay.onDrain(() => void (drained += 1));
    for (const text of rest.split(", ").filter(each => each !== "nothing")) {
        if (text === "the end") {
            relay.end();
        }
        else {
            relay.write(Buffer.from(unescapeLines(text)), beforeStart);
        }
    }
});

When(/^the hold ends( without a record)?$/, async (without: string | null) => {
    finishHold(without === null);
    await setImmediate();
});

Then(/^the answer (has ended|goes on)$/, (state: string) => strictEqual(isResponseEnded, state === "has ended"));

Then("the relay has asked for more bytes {int} times", (count: number) => strictEqual(drained, count));

Then("the client has received the headers {string}", (expected: string) => {
    const lines = sentHeaders.flatMap((text, at) => at % 2 === 0 ? [`${text}: ${sentHeaders[at + 1] ?? ""}`] : []);
    strictEqual(lines.join(", "), expected);
});

Then("the client has received {string} and the last event id is {string}", (text: string, last: string) => {
    strictEqual(sent, unescapeLines(text));
    strictEqual(relay.lastEventId ?? "", last);
});

function unescapeLines(text: string): string {
    return text.replaceAll(/\\+n/g, "\n").replaceAll(/\\+r/g, "\r");
}
