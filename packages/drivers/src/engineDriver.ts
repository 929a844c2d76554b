import type { AdapterName, AdapterVersion, Incarnation, InstanceName, RequestId } from "@fulmarcleat/ids";

/** Order to load an adapter's version under an instance name. */
export interface LoadOrder {
    readonly instance: InstanceName;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Where the weights are, from the adapter's spec. */
    readonly weights: string;
    readonly fence: number;
}

/** What the engine answered to an order. */
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
    readonly running: number;
}

/** An engine's own, lagging report. */
export interface EngineReport {
    /** Changes when the engine restarts. */
    readonly incarnation: Incarnation;
    readonly instances: readonly InstanceReport[];
    readonly running: number;
    readonly waiting: number;
    readonly batchSlots: number;
    readonly adapterPlaces: number;
}

/** One message of a chat. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** What a request asks: a plain prompt or a chat. */
export type EngineInput =
    | { readonly kind: "text"; readonly prompt: string }
    | { readonly kind: "chat"; readonly messages: readonly ChatMessage[] };

/** How an engine draws its tokens. */
export interface Sampling {
    readonly temperature: number | undefined;
    readonly topP: number | undefined;
    readonly seed: number | undefined;
    readonly stop: readonly string[] | undefined;
}

/** A request as an engine takes it. */
export interface EngineRequest {
    readonly requestId: RequestId;
    readonly instance: InstanceName;
    readonly input: EngineInput;
    readonly sampling: Sampling;
    readonly maxTokens: number;
    /** Lower runs first. */
    readonly priority: number;
    /** Sends on a new connection, for requests that may not be sent twice. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}

/** One piece of an answer; `index` counts from 0 without gaps. */
export interface EngineToken {
    readonly index: number;
    readonly text: string;
    /** Instance that the engine says it ran. */
    readonly instance: InstanceName;
    /** Set on the last piece. */
    readonly finishReason: "stop" | "length" | undefined;
}

/** What the engine answered to a request. */
export type StreamResult =
    | { readonly kind: "accepted"; readonly tokens: AsyncIterable<EngineToken> }
    /** The engine confirmed that it did not run the request. */
    | { readonly kind: "refused"; readonly reason: "not_loaded" | "overloaded" | "leaving"; readonly message: string };

/** One model engine. Calls throw ServeError with outcome `not_run` where nothing was sent, else `unknown`. */
export interface EngineDriver {
    load(order: LoadOrder, signal: AbortSignal): Promise<OrderResult>;
    unload(instance: InstanceName, fence: number, signal: AbortSignal): Promise<OrderResult>;
    report(signal: AbortSignal): Promise<EngineReport>;
    openStream(req: EngineRequest): Promise<StreamResult>;
    /** Continues a stream after the last piece received. */
    resumeStream(requestId: RequestId, afterIndex: number, signal: AbortSignal): Promise<StreamResult>;
    cancelStream(requestId: RequestId): Promise<void>;
    /** Whether a request on a new connection is answered. */
    probe(signal: AbortSignal): Promise<boolean>;
    /** Replaces every open connection. */
    reconnect(): Promise<void>;
    close(): Promise<void>;
}
