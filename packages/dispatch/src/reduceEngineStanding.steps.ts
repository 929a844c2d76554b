import { strictEqual, Then } from "@fulmarcleat/testing";
import { findEngineClosure, OPEN_STANDING, reduceEngineStanding } from "./reduceEngineStanding.js";
import type { EngineClosure, StandingMessage } from "./reduceEngineStanding.js";

/** Clock reading after all pauses of the tables, in milliseconds. */
const LATE_MS = 100_000;

Then(/^an engine after "(.*)" is "(.*)" at (\d+) ms$/, (messages: string, closure: string, at: string) => {
    const standing = messages.split(" ").filter(text => text !== "").flatMap(parseMessages)
        .reduce(reduceEngineStanding, OPEN_STANDING);
    strictEqual(formatClosure(findEngineClosure(standing, Number(at))), closure);
});

/** Parses a message, so many requests one after the other that are each answered, or so many that are sent at once. */
function parseMessages(text: string): readonly StandingMessage[] {
    const [kind, count] = text.split(":");
    const repeat = (messages: readonly StandingMessage[]): readonly StandingMessage[] =>
        Array<readonly StandingMessage[]>(Number(count)).fill(messages).flat();
    switch (kind) {
        case "round":
            return repeat([{ kind: "sent" }, { kind: "accepted", sentMs: LATE_MS }]);
        case "burst":
            return repeat([{ kind: "sent" }]);
        default:
            return [parseMessage(text)];
    }
}

/** Parses a message: its kind, an argument behind a colon, and the time behind an at sign. */
function parseMessage(text: string): StandingMessage {
    const [body = "", at = "0"] = text.split("@");
    const [kind, argument = "0"] = body.split(":");
    const atMs = Number(at);
    switch (kind) {
        case "leaving":
            return { kind: "noticed", notice: { isLeaving: true, pause: undefined }, atMs };
        case "pause":
            return {
                kind: "noticed",
                notice: { isLeaving: false, pause: { kind: "time", forMs: Number(argument) } },
                atMs,
            };
        case "unreadable":
            return {
                kind: "noticed",
                notice: { isLeaving: false, pause: { kind: "unreadable", text: "soon" } },
                atMs,
            };
        case "accepted":
        case "failed":
            return { kind, sentMs: Number(argument) };
        default:
            return { kind: "sent" };
    }
}

function formatClosure(closure: EngineClosure | undefined): string {
    switch (closure?.kind) {
        case "paused":
            return `paused until ${closure.untilMs}`;
        case "leaving":
        case "recovering":
            return closure.kind;
        case undefined:
            return "open";
    }
}
