import { strictEqual, Then } from "@fulmarcleat/testing";
import { decayHealth, reduceHealth, UNKNOWN_HEALTH } from "./reduceHealth.js";
import type { HealthMessage } from "./reduceHealth.js";

Then(
    /^the health after (.*) at (\d+) ms is blocked (true|false) with failures ([\d.]+)$/,
    (messages: string, at: string, blocked: string, share: string) => {
        const atMs = Number(at);
        const health = messages.split(" ").filter(text => text !== "").map(parseMessage)
            .reduce(reduceHealth, UNKNOWN_HEALTH);
        strictEqual(String(health.blockedUntilMs > atMs), blocked);
        strictEqual(decayHealth(health, atMs).failureShare.toFixed(2), share);
    },
);

function parseMessage(text: string): HealthMessage {
    const [kind, at] = text.split("@");
    const atMs = Number(at);
    return kind === "answered" ? { kind, firstByteMs: 40, atMs } : { kind, atMs } as HealthMessage;
}
