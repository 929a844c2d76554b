import type { AccountName, HostId } from "@fulmarcleat/ids";

/** What a substitute has granted in place of the granter. */
export interface AccountInterim {
    /** Level of its bucket. */
    readonly level: number;
    /** Cost that it has granted since it took over. */
    readonly spent: number;
    /** Number of the period that began when it took over; what is told twice is counted once. */
    readonly period: number;
}

/** Asks for grants of one account's requests. */
export interface AccountGrantRequest {
    readonly account: AccountName;
    /** Costs of the requests, in the unit of the account's limit; empty in a `contact`. */
    readonly costs: readonly number[];
    /** Number of the batch at the host that sends the requests, so that a batch that arrives twice is charged once. */
    readonly batch: number;
    /** The host that sends the requests; undefined if it is the sender. */
    readonly host?: HostId;
    /**
     * - `granter`: the receiver ranks first, as far as the sender knows
     * - `substitute`: the granter did not reply; the receiver asks it, or grants itself
     * - `witness`: the granter did not reply to its substitute; the receiver asks it and never grants itself
     * - `relayed`: passed on by another host; the receiver decides
     * - `contact`: the granter asks whether it is still connected
     */
    readonly role: "granter" | "substitute" | "witness" | "relayed" | "contact";
    /** Cost that the host has admitted without a grant since the last reply. */
    readonly owed?: number;
    /** What the sender, or the host that it relays for, has granted in place of the granter. */
    readonly interim?: AccountInterim;
}

/** Reply to a request for grants. */
export interface AccountGrantReply {
    /** `granter` if the granter decided, `substitute` if the receiver did in its place, `none` if nobody did. */
    readonly via: "granter" | "substitute" | "none";
    /** How many of the requests are granted, counted from the first. */
    readonly granted: number;
    /** Time until the next request may fit, in milliseconds; 0 if all are granted. */
    readonly readyInMs: number;
    /** Cost granted to the account in the window that ends now. */
    readonly used: number;
    /** The host that decided. */
    readonly by: HostId;
    /** Number of the period in which that host has granted without a break; returns are valid only within it. */
    readonly period: number;
    /** In a reply to a `contact`: what the receiver has granted in place of the sender. */
    readonly interim?: AccountInterim;
}

/** Returns the cost of a request that was granted and did not run. */
export interface AccountReturn {
    readonly account: AccountName;
    readonly cost: number;
    /** Time since the grant, in milliseconds. */
    readonly agoMs: number;
    /** Period of the granter in which the cost was granted. */
    readonly period: number;
}
