import { ORDER_RIGHT_MS } from "./holdsOrderRight.js";

/** What a host knows of the owners before it, of an engine that checks no fences. */
export type FormerOwner =
    /** No other host can send orders any more, and the last one's are older than the order lease. */
    | { readonly kind: "none" }
    /** The last owner orders no more; its last order ended this long ago, in milliseconds. */
    | { readonly kind: "stopped"; readonly lastOrderAgoMs: number }
    /** An owner before it may still have the right to order. */
    | { readonly kind: "unknown" };

/** Longest time for which an order is on its way to an engine, in milliseconds: it ends with the sender's timeout. */
const ORDER_TRANSIT_MS = 300;
/** Largest difference between the rates of two hosts' clocks, as a part of the time; oscillators differ by far less. */
const CLOCK_RATE_ERROR = 0.01;

/**
 * Chooses how long a new owner of an engine that checks no fences waits after its claim was written before it sends the
 * first order, so that the last order of any owner before it is older than the order lease.
 *
 * @param former - What is known of the owners before it
 * @param orderLeaseMs - Time after one host's order before another host may order, in milliseconds
 * @returns the wait in milliseconds
 *
 * @example
 * chooseOrderWait({ kind: "stopped", lastOrderAgoMs: 1000 }, 3000); // 2000
 */
export function chooseOrderWait(former: FormerOwner, orderLeaseMs: number): number {
    switch (former.kind) {
        case "none":
            return 0;
        case "stopped":
            return Math.max(0, orderLeaseMs - former.lastOrderAgoMs);
        case "unknown":
            // Every call that the store answers after it has written the claim shows the former owner that claim.
            return ORDER_RIGHT_MS * (1 + CLOCK_RATE_ERROR) + ORDER_TRANSIT_MS + orderLeaseMs;
    }
}
