import { MISDIRECTED } from "@fulmarcleat/directory";
import type { HealthMessage } from "@fulmarcleat/dispatch";
import type { ExchangeResult } from "./runExchange.js";

/** Lowest status that counts as an engine's own failure. */
export const FIRST_SERVER_ERROR = 500;

/**
 * Describes what one exchange shows of its engine's health.
 *
 * @param result - How the exchange ended
 * @param firstByteMs - Time to the first byte, or to the end if none came, in milliseconds
 * @param atMs - Clock reading at the end, in milliseconds
 * @returns the message for the engine's health; undefined if the exchange shows nothing
 *
 * @example
 * describeHealth({ kind: "broken", reason: "ECONNRESET", framing: undefined }, 20, 5000); // { kind: "failed", atMs: 5000 }
 */
export function describeHealth(result: ExchangeResult, firstByteMs: number, atMs: number): HealthMessage | undefined {
    switch (result.kind) {
        case "relayed":
            return { kind: "answered", firstByteMs, atMs };
        case "answer":
            return result.head.status >= FIRST_SERVER_ERROR
                ? { kind: "failed", atMs }
                : { kind: "answered", firstByteMs, atMs };
        case "broken":
            return { kind: "failed", atMs };
        case "unsent":
            return { kind: "unreachable", atMs };
        case "not_run":
            return result.status === MISDIRECTED ? undefined : { kind: "shed", atMs };
        case "cancelled":
        case "discarded":
            return undefined;
    }
}
