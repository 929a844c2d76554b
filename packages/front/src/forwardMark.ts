import type { AccountName, EngineId, HostId } from "@fulmarcleat/ids";
import type { StreamOrigin } from "@fulmarcleat/wire";

/** What a host states of a client's request that it hands to another host. */
export interface ForwardMark {
    /** The host that the client sent its request to. */
    readonly from: HostId;
    /** Number of attempts that may have reached an engine. */
    readonly sends: number;
    /** Whether the retry budget of a host before counts the request already; left out if none does. */
    readonly isCounted?: true;
    /** Account whose key the host has checked; left out without one. */
    readonly account?: AccountName;
    /** Engines that the request has been tried at. */
    readonly tried: readonly EngineId[];
    /** Where the stream began; undefined if the client has received nothing of it. */
    readonly origin: StreamOrigin | undefined;
}

/** What a mark is valid for: one request to one host. */
export interface ForwardScope {
    /** Name of the host that serves the request. */
    readonly host: string;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly requestId: string;
}

/** Header in which a host that refuses a request as not run says how often it may have reached an engine by then. */
export const SENDS_HEADER = "fulmarcleat-sends";
/** Header with the mark. */
export const MARK_HEADER = "fulmarcleat-forward";
/** Header with the code that authenticates the mark. */
export const MARK_MAC_HEADER = "fulmarcleat-forward-mac";
