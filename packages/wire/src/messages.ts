import type { ErrorCode } from "@fulmarcleat/errors";
import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    EngineId,
    HostId,
    Incarnation,
    InstanceName,
    Nonce,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import type { ConfigChange, Priority, Resource } from "@fulmarcleat/resources";
import type { AdapterLoadReply, AdapterLoadRequest, HostUsageReply, HostUsageReport } from "./residencyMessages.js";

/** Requests a place, a slot in an engine's batch with an adapter loaded, from the engine's owner. */
export interface PlaceRequest {
    /** Chosen by the requesting host, so that it can release the place even if the reply is lost. */
    readonly place: PlaceId;
    readonly requestId: RequestId;
    readonly engine: EngineId;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Location of the adapter's weights. */
    readonly weights: string;
    readonly caller: CallerName;
    readonly priority: Priority;
    /** Maximum time that the request can still wait, in milliseconds. */
    readonly waitMs: number;
    /** The requesting host. */
    readonly host: HostId;
    readonly incarnation: Incarnation;
}

/** An owner's reply to a place request. */
export type PlaceReply =
    | {
        readonly kind: "granted";
        readonly place: PlaceId;
        readonly instance: InstanceName;
        readonly fence: number;
        /** Time that the place request waited at the owner, in milliseconds. */
        readonly waitedMs: number;
        /** Time after the grant within which a request must start on the place, in milliseconds. */
        readonly startWithinMs: number;
        /** Engines that currently serve this adapter, including this one. */
        readonly replicas: readonly EngineId[];
        /** Time for which the host may reuse the place for further requests, in milliseconds; 0 if it must not. */
        readonly reuseMs: number;
        /** Time that the request waited for its adapter to be loaded, in milliseconds. */
        readonly loadStallMs: number;
    }
    | {
        readonly kind: "refused";
        readonly code: ErrorCode;
        readonly message: string;
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: "not_owner"; readonly owner: HostId | undefined };

/** How the use of a place ended. */
export type PlaceOutcome = "finished" | "failed" | "not_loaded" | "unused";

/** Releases places of an engine. */
export interface PlaceEnd {
    readonly engine: EngineId;
    readonly ends: readonly {
        readonly place: PlaceId;
        readonly use: PlaceOutcome;
        /** Number of requests that ran on the place, one after another. */
        readonly runs: number;
    }[];
}

/** Requests the places that a host still holds on an engine; from then on it accepts no place with a lower fence. */
export interface PlacesHeldRequest {
    readonly engine: EngineId;
    readonly fence: number;
    /** Instances whose unused places the host must release; undefined for all instances. */
    readonly revoke: readonly InstanceName[] | undefined;
}

/** The places that a host still holds on an engine. */
export interface PlacesHeldReply {
    readonly incarnation: Incarnation;
    /** Places that the host has requested without a reply so far. */
    readonly pending: readonly PlaceId[];
    readonly places: readonly { readonly place: PlaceId; readonly instance: InstanceName }[];
}

/** Claims the exclusive right to run an idempotent request, from the owner of the key's partition. */
export interface ClaimRequest {
    /** `look` only reads the state of the key and claims nothing. */
    readonly mode: "claim" | "look";
    readonly partition: number;
    /** Hash of the caller's name and its key. */
    readonly key: string;
    /** Hash of the request; a key must not be reused for a different request. */
    readonly requestHash: string;
    readonly nonce: Nonce;
    readonly requestId: RequestId;
    /** Time that the requesting host waits for a reply, in milliseconds. */
    readonly waitMs: number;
}

/** The response of a request's first run, stored for repeated requests. */
export type StoredAnswer =
    | {
        readonly kind: "generation";
        readonly text: string;
        readonly finishReason: "stop" | "length";
        readonly tokens: number;
        readonly ranModel: string;
    }
    | {
        readonly kind: "service";
        readonly status: number;
        readonly contentType: string;
        readonly body: Uint8Array;
    };

/** A partition owner's reply to a claim request. */
export type ClaimReply =
    /** The claim is committed; only the claiming host may start the request. */
    | { readonly kind: "granted" }
    /** The key is not claimed; only sent in reply to `look`. */
    | { readonly kind: "free" }
    | { readonly kind: "replay"; readonly answer: StoredAnswer }
    /** The request ran, and its response is no longer stored. */
    | { readonly kind: "ran" }
    | { readonly kind: "in_progress" }
    /** The request may have run. */
    | { readonly kind: "unknown" }
    | { readonly kind: "key_reused" }
    /** No claim was committed and the request did not run. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number }
    /** It is unknown whether the claim was written; the request must not start and the key cannot be used again. */
    | { readonly kind: "undecided" };

/** Reports to a partition's owner how a claimed request ended. */
export interface ClaimEnd {
    readonly partition: number;
    /** Hash of the caller's name and its key. */
    readonly key: string;
    readonly nonce: Nonce;
    /** `not_run` makes the key available again; `unknown` does not. */
    readonly outcome: "ran" | "not_run" | "unknown";
    readonly answer: StoredAnswer | undefined;
}

/** Sends accepted configuration changes to a peer. */
export interface ConfigPush {
    readonly changes: readonly ConfigChange[];
}

/** Sequence number of the last configuration change that a host has applied. */
export interface ConfigAck {
    readonly seq: number;
}

/** Requests the configuration changes after a sequence number. */
export interface ConfigFetch {
    readonly afterSeq: number;
}

/** The missing changes if the peer has all of them, otherwise a snapshot of the configuration if it is complete. */
export type ConfigFetchReply =
    | { readonly kind: "changes"; readonly changes: readonly ConfigChange[] }
    | { readonly kind: "snapshot"; readonly seq: number; readonly resources: readonly Resource[] }
    | { readonly kind: "incomplete" };

/** Requests a host's status. */
export interface StatusRequest {
    /** Part of the status to report in detail. */
    readonly detail: "brief" | "engines" | "adapter";
    readonly adapter?: AdapterName;
}

/** An owner's view of one engine. */
export interface EngineStatus {
    readonly engine: EngineId;
    readonly owner: HostId;
    readonly fence: number;
    readonly draining: boolean;
    readonly running: number;
    readonly waiting: number;
    readonly instances: readonly {
        readonly instance: InstanceName;
        readonly state: string;
        readonly pins: number;
        readonly ratePerSecond: number;
    }[];
}

/** A host's status. */
export interface StatusReply {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly configSeq: number;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly ownedEngines: readonly EngineId[];
    readonly engines: readonly EngineStatus[];
}

/** A decision recorded by a host. */
export interface Decision {
    readonly atMs: number;
    readonly host: HostId;
    readonly step: string;
    readonly requestId: RequestId | undefined;
    readonly adapter: AdapterName | undefined;
    readonly detail: string;
}

/** Requests a host's recorded decisions about a request or an adapter. */
export interface ExplainRequest {
    readonly requestId: RequestId | undefined;
    readonly adapter: AdapterName | undefined;
}

/** A host's recorded decisions. */
export interface ExplainReply {
    readonly decisions: readonly Decision[];
}

/** A hello message: a peer's periodic report of its own state. */
export interface PeerHello {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
    readonly configSeq: number;
    readonly ownedEngines: readonly EngineId[];
}

/** Acknowledges a message without returning data. */
export interface Acknowledgement {
    readonly done: true;
}

/** Request and reply types of each exchange between processes. */
export interface PeerExchanges {
    readonly place: { readonly request: PlaceRequest; readonly reply: PlaceReply };
    readonly placeEnd: { readonly request: PlaceEnd; readonly reply: Acknowledgement };
    readonly placesHeld: { readonly request: PlacesHeldRequest; readonly reply: PlacesHeldReply };
    readonly claim: { readonly request: ClaimRequest; readonly reply: ClaimReply };
    readonly claimEnd: { readonly request: ClaimEnd; readonly reply: Acknowledgement };
    readonly configPush: { readonly request: ConfigPush; readonly reply: ConfigAck };
    readonly configFetch: { readonly request: ConfigFetch; readonly reply: ConfigFetchReply };
    readonly status: { readonly request: StatusRequest; readonly reply: StatusReply };
    readonly explain: { readonly request: ExplainRequest; readonly reply: ExplainReply };
    readonly hello: { readonly request: PeerHello; readonly reply: PeerHello };
    readonly adapterLoad: { readonly request: AdapterLoadRequest; readonly reply: AdapterLoadReply };
    readonly engineUse: { readonly request: HostUsageReport; readonly reply: HostUsageReply };
}

/** Name of an exchange. */
export type ExchangeName = keyof PeerExchanges;
/** Request type of an exchange. */
export type RequestOf<Name extends ExchangeName> = PeerExchanges[Name]["request"];
/** Reply type of an exchange. */
export type ReplyOf<Name extends ExchangeName> = PeerExchanges[Name]["reply"];
