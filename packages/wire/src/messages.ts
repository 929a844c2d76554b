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
import type { AdapterLoadAsk, AdapterLoadReply, EngineUseReply, EngineUseTell } from "./residencyMessages.js";

/** Asks an engine's owner for a place in its batch with an adapter loaded. */
export interface PlaceAsk {
    /** Chosen by the asker, so that it can give the place back where the reply is lost. */
    readonly place: PlaceId;
    readonly requestId: RequestId;
    readonly engine: EngineId;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Where the weights are. */
    readonly weights: string;
    readonly caller: CallerName;
    readonly priority: Priority;
    /** Longest wait that the request has left, in milliseconds. */
    readonly waitMs: number;
    readonly host: HostId;
    readonly incarnation: Incarnation;
}

/** An owner's answer to a place ask. */
export type PlaceReply =
    | {
        readonly kind: "granted";
        readonly place: PlaceId;
        readonly instance: InstanceName;
        readonly fence: number;
        /** How long the ask waited at the owner, in milliseconds. */
        readonly waitedMs: number;
        /** How long the place may wait for its request to start, in milliseconds from the grant. */
        readonly startWithinMs: number;
        /** Engines that serve this adapter now, this one among them. */
        readonly replicas: readonly EngineId[];
        /** How long the place may be kept for further requests after this one, in milliseconds; 0 for not at all. */
        readonly reuseMs: number;
        /** How long the request waited for its adapter to load, in milliseconds. */
        readonly loadStallMs: number;
    }
    | {
        readonly kind: "refused";
        readonly code: ErrorCode;
        readonly message: string;
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: "not_owner"; readonly owner: HostId | undefined };

/** How a place's use ended. */
export type PlaceUse = "finished" | "failed" | "not_loaded" | "unused";

/** Gives places back. */
export interface PlaceEnd {
    readonly engine: EngineId;
    readonly ends: readonly {
        readonly place: PlaceId;
        readonly use: PlaceUse;
        /** Requests that ran on the place, one after the other. */
        readonly runs: number;
    }[];
}

/** Asks the holders of an engine's places which they still hold; they take no place of a lower fence from then on. */
export interface PlacesHeldAsk {
    readonly engine: EngineId;
    readonly fence: number;
    /** Give back unused credits for these instances, or for all where undefined. */
    readonly revoke: readonly InstanceName[] | undefined;
}

/** Places that a host still holds on an engine. */
export interface PlacesHeldReply {
    readonly incarnation: Incarnation;
    /** Places that the host has asked for without an answer so far. */
    readonly pending: readonly PlaceId[];
    readonly places: readonly { readonly place: PlaceId; readonly instance: InstanceName }[];
}

/** Asks an idempotency partition's owner for the right to run a request once. */
export interface ClaimAsk {
    /** `look` asks only what is known of the key. */
    readonly mode: "claim" | "look";
    readonly partition: number;
    /** Hash of the caller's name and its key. */
    readonly key: string;
    /** Hash of the request; a key may not be used again for another. */
    readonly requestHash: string;
    readonly nonce: Nonce;
    readonly requestId: RequestId;
    /** How long the asker waits, in milliseconds. */
    readonly waitMs: number;
}

/** A first answer, kept for a repeat. */
export type KeptAnswer =
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

/** A partition owner's answer to a claim. */
export type ClaimReply =
    /** The claim is committed; the asker alone may start the request. */
    | { readonly kind: "granted" }
    /** Nothing is known of the key; replied to a look only. */
    | { readonly kind: "free" }
    | { readonly kind: "replay"; readonly answer: KeptAnswer }
    /** It ran, and its answer is no longer kept. */
    | { readonly kind: "ran" }
    | { readonly kind: "in_progress" }
    /** It may have run. */
    | { readonly kind: "unknown" }
    | { readonly kind: "key_reused" }
    /** Nothing was committed; the request did not run. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number }
    /** The claim's write is undecided; the request is not started and the key stays spent. */
    | { readonly kind: "undecided" };

/** Tells a partition's owner how a claimed request ended. */
export interface ClaimEnd {
    readonly partition: number;
    /** Hash of the caller's name and its key. */
    readonly key: string;
    readonly nonce: Nonce;
    /** `not_run` frees the key; `unknown` leaves it spent. */
    readonly outcome: "ran" | "not_run" | "unknown";
    readonly answer: KeptAnswer | undefined;
}

/** Sends accepted changes to a peer. */
export interface ConfigPush {
    readonly changes: readonly ConfigChange[];
}

/** What a host holds of the configuration. */
export interface ConfigAck {
    readonly seq: number;
}

/** Asks a peer for what came after a change. */
export interface ConfigFetch {
    readonly afterSeq: number;
}

/** A peer's configuration: the missing changes where it has them all, else everything. */
export type ConfigFetchReply =
    | { readonly kind: "changes"; readonly changes: readonly ConfigChange[] }
    | { readonly kind: "snapshot"; readonly seq: number; readonly resources: readonly Resource[] }
    | { readonly kind: "incomplete" };

/** Asks a host for its state. */
export interface StatusAsk {
    /** Names what to report in detail. */
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

/** A host's state. */
export interface StatusReply {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly configSeq: number;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly ownedEngines: readonly EngineId[];
    readonly engines: readonly EngineStatus[];
}

/** One recorded decision. */
export interface Decision {
    readonly atMs: number;
    readonly host: HostId;
    readonly step: string;
    readonly requestId: RequestId | undefined;
    readonly adapter: AdapterName | undefined;
    readonly detail: string;
}

/** Asks a host for its recorded decisions on a request or an adapter. */
export interface ExplainAsk {
    readonly requestId: RequestId | undefined;
    readonly adapter: AdapterName | undefined;
}

/** A host's recorded decisions. */
export interface ExplainReply {
    readonly decisions: readonly Decision[];
}

/** A peer's periodic word about itself. */
export interface PeerHello {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
    readonly configSeq: number;
    readonly ownedEngines: readonly EngineId[];
}

/** Acknowledges a message that needs no answer. */
export interface Empty {
    readonly done: true;
}

/** Every exchange between processes: what is asked and what is replied. */
export interface PeerExchanges {
    readonly place: { readonly ask: PlaceAsk; readonly reply: PlaceReply };
    readonly placeEnd: { readonly ask: PlaceEnd; readonly reply: Empty };
    readonly placesHeld: { readonly ask: PlacesHeldAsk; readonly reply: PlacesHeldReply };
    readonly claim: { readonly ask: ClaimAsk; readonly reply: ClaimReply };
    readonly claimEnd: { readonly ask: ClaimEnd; readonly reply: Empty };
    readonly configPush: { readonly ask: ConfigPush; readonly reply: ConfigAck };
    readonly configFetch: { readonly ask: ConfigFetch; readonly reply: ConfigFetchReply };
    readonly status: { readonly ask: StatusAsk; readonly reply: StatusReply };
    readonly explain: { readonly ask: ExplainAsk; readonly reply: ExplainReply };
    readonly hello: { readonly ask: PeerHello; readonly reply: PeerHello };
    readonly adapterLoad: { readonly ask: AdapterLoadAsk; readonly reply: AdapterLoadReply };
    readonly engineUse: { readonly ask: EngineUseTell; readonly reply: EngineUseReply };
}

/** Name of an exchange. */
export type ExchangeName = keyof PeerExchanges;
/** What is asked in an exchange. */
export type AskOf<Name extends ExchangeName> = PeerExchanges[Name]["ask"];
/** What is replied in an exchange. */
export type ReplyOf<Name extends ExchangeName> = PeerExchanges[Name]["reply"];
