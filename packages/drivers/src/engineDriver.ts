import type { AdapterName, AdapterVersion, Incarnation, InstanceName, RequestId } from "@fulmarcleat/ids";

/** Order to load a version of an adapter under an instance name. */
export interface LoadOrder {
    readonly instance: InstanceName;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Location of the weights in the weight store, from the adapter's spec. */
    readonly weights: string;
    /** Fencing token of the engine's owner; an engine that checks fences refuses orders with a lower one. */
    readonly fence: number;
}

/** Reply of an engine to an order. */
export type OrderResult =
    | { readonly kind: "done" }
    | {
        readonly kind: "refused";
        readonly reason: "full" | "old_fence" | "not_found" | "in_use" | "failed";
        readonly message: string;
    };

/** One loaded instance in an engine's report. */
export interface InstanceReport {
    readonly instance: InstanceName;
    /** Requests that run on the instance. */
    readonly running: number;
}

/** Load that an engine reports of itself; it may lag behind its actual state. */
export interface EngineReport {
    /** Changes when the engine restarts. */
    readonly incarnation: Incarnation;
    readonly instances: readonly InstanceReport[];
    /** Requests in the running batch. */
    readonly running: number;
    /** Requests in the engine's queue. */
    readonly waiting: number;
    /** Largest number of requests in a batch. */
    readonly batchSlots: number;
    /** Number of adapter slots: how many instances can be loaded at the same time. */
    readonly adapterPlaces: number;
}

/** One message of a chat. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** Input of a request: a plain prompt or a chat. */
export type EngineInput =
    | { readonly kind: "text"; readonly prompt: string }
    | { readonly kind: "chat"; readonly messages: readonly ChatMessage[] };

/** Sampling parameters of a request; undefined leaves the engine's default. */
export interface Sampling {
    readonly temperature: number | undefined;
    readonly topP: number | undefined;
    readonly seed: number | undefined;
    readonly stop: readonly string[] | undefined;
}

/** A request to an engine. */
export interface EngineRequest {
    readonly requestId: RequestId;
    readonly instance: InstanceName;
    readonly input: EngineInput;
    readonly sampling: Sampling;
    readonly maxTokens: number;
    /** Requests with a lower number run first. */
    readonly priority: number;
    /** Whether to open a new connection, for requests that must not be sent twice. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}

/** One piece of an answer; `index` counts from 0 without gaps. */
export interface EngineToken {
    readonly index: number;
    readonly text: string;
    /** Instance that the engine reports to have run. */
    readonly instance: InstanceName;
    /** Set only on the last piece. */
    readonly finishReason: "stop" | "length" | undefined;
}

/** Reply of an engine to a request. */
export type StreamResult =
    | { readonly kind: "accepted"; readonly tokens: AsyncIterable<EngineToken> }
    /** The engine confirmed that it did not run the request. */
    | { readonly kind: "refused"; readonly reason: "not_loaded" | "overloaded" | "leaving"; readonly message: string };

/** Driver of one model engine. Calls throw ServeError with outcome `not_run` if nothing was sent, else `unknown`. */
export interface EngineDriver {
    load(order: LoadOrder, signal: AbortSignal): Promise<OrderResult>;
    unload(instance: InstanceName, fence: number, signal: AbortSignal): Promise<OrderResult>;
    report(signal: AbortSignal): Promise<EngineReport>;
    openStream(req: EngineRequest): Promise<StreamResult>;
    /** Resumes a stream after the piece with index `afterIndex`. */
    resumeStream(requestId: RequestId, afterIndex: number, signal: AbortSignal): Promise<StreamResult>;
    cancelStream(requestId: RequestId): Promise<void>;
    /** Returns whether the engine answers a health check on a new connection. */
    probe(signal: AbortSignal): Promise<boolean>;
    /** Closes all pooled connections and uses new ones from then on. */
    reconnect(): Promise<void>;
    close(): Promise<void>;
}
