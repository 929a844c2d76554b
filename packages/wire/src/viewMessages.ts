import type { StoreEvent, StoreItem } from "@fulmarcleat/directory";

/** Part of the store that hosts follow: the operator's keys, the engines' entries, or the hosts' own keys. */
export type ViewPart = "config" | "engines" | "hosts";

/** Asks a host for what it has learned of the store after these revisions; the reply waits until there is something. */
export interface ViewRequest {
    readonly parts: readonly {
        readonly part: ViewPart;
        /** Revision, as the store counts it, up to which the asking host knows all changes; undefined if it knows nothing. */
        readonly afterRevision: number | undefined;
        /** Epoch of that revision; undefined if the sender's version knows none. */
        readonly epoch?: number | undefined;
    }[];
    /** Longest wait for a change, in milliseconds. */
    readonly waitMs: number;
    /**
     * Most bytes of the operator's values; the asking host reads more from the store. Undefined if it takes any number, or
     * if its version doesn't know of the limit.
     */
    readonly maxBytes?: number | undefined;
}

/** How old what a host knows of a part is. */
export interface ViewAge {
    /** Revision, as the store counts it, up to which it knows all changes. */
    readonly revision: number;
    /** Epoch of all revisions of the part; undefined if the sender's version knows none. */
    readonly epoch?: number | undefined;
    /** Time since the store confirmed it, in milliseconds. */
    readonly confirmedAgoMs: number;
    /** Time since the call was sent that confirmed it, in milliseconds. */
    readonly sentAgoMs: number;
}

/** What a host knows of a part. */
export type ViewPartReply =
    | {
        readonly part: ViewPart;
        readonly kind: "events";
        readonly events: readonly StoreEvent[];
        readonly age: ViewAge;
    }
    /** All keys, since the changes after the asked revision are no longer kept. */
    | { readonly part: ViewPart; readonly kind: "list"; readonly items: readonly StoreItem[]; readonly age: ViewAge }
    /** The values are larger than the asking host takes, or than this host's link carries to all that ask it. */
    | { readonly part: ViewPart; readonly kind: "large"; readonly age: ViewAge }
    /** The host has not read the part itself. */
    | { readonly part: ViewPart; readonly kind: "unknown" };

/** What a host has learned of the store. */
export interface ViewReply {
    readonly parts: readonly ViewPartReply[];
    /** Time since the store answered the host again after an outage, in milliseconds; undefined if there was none. */
    readonly storeReturnedAgoMs: number | undefined;
}
