import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { createAnswerRelay } from "./relayAnswer.js";
import type { AnswerRelay } from "./relayAnswer.js";

const RESUME = "RESUME";
let relay: AnswerRelay;
let sent = "";

Given(/^a relay that sends (all bytes|complete events)$/, (how: string) => {
    sent = "";
    const res = {
        writeHead: () => undefined,
        write(bytes: Buffer) {
            sent += bytes.toString();
            return true;
        },
    } as unknown as ServerResponse;
    relay = createAnswerRelay(res, { sendsCompleteEvents: how === "complete events", isClosing: () => false });
    const head = {
        status: 200,
        framing: "chunks" as const,
        headers: [],
        requestId: undefined,
        isNotRun: false,
        load: undefined,
    };
    relay.begin({ ...head, instance: undefined });
});

When("the relay receives {string} and then {string}", (first: string, second: string) => {
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

Then("the client has received {string} and the last event id is {string}", (text: string, last: string) => {
    strictEqual(sent, unescapeLines(text));
    strictEqual(relay.lastEventId ?? "", last);
});

function unescapeLines(text: string): string {
    return text.replaceAll(/\\+n/g, "\n").replaceAll(/\\+r/g, "\r");
}
