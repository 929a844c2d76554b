import type { AccountName, EngineId, RequestId } from "@fulmarcleat/ids";
import type { EngineTarget } from "./engineControl.js";

/** Request that is sent to an engine. */
export interface EngineRequest {
    readonly target: EngineTarget;
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query as sent by the client. */
    readonly path: string;
    /** Alternating names and values as sent by the client, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Time within which the engine must finish, in milliseconds. */
    readonly deadlineMs: number;
    /** Account that the engine is told of; undefined without one, and for a request to another host. */
    readonly account: AccountName | undefined;
    /** 0 is served first, 9 last; undefined for a plain service. */
    readonly urgency: number | undefined;
    /** Required version of the adapter or model; undefined for any. */
    readonly version: number | undefined;
    /** Id of the last event received from an interrupted stream, after which to resume. */
    readonly lastEventId: string | undefined;
}

/** Load that an engine reported. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What an engine's answer says of the rate of requests that it takes from all hosts together. */
export type NamedLimit =
    | { readonly kind: "none" }
    /** Requests a second; may be 0 and may have a fraction. */
    | { readonly kind: "rate"; readonly perSecond: number }
    /** A limit that can't be read, as received. */
    | { readonly kind: "unreadable"; readonly text: string };

/** Status of an engine's refusal of a request for another engine, or for an adapter that it does not hold. */
export const MISDIRECTED = 421;

/** How an answer states where its body ends; with `connection_end`, only the closing of the connection does. */
export type AnswerFraming = "length" | "chunks" | "connection_end";

/** Status and headers of an engine's answer. */
export interface EngineAnswerHead {
    readonly status: number;
    readonly framing: AnswerFraming;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    /** Id of the answered request, as echoed by the engine. */
    readonly requestId: string | undefined;
    /** Whether the engine states that the request did not run and never will. */
    readonly isNotRun: boolean;
    readonly load: EngineLoad | undefined;
    readonly limit: NamedLimit;
    /** Id of the engine that answers, if it states one. */
    readonly instance: EngineId | undefined;
    /** What the engine says of further work for it; undefined if it says nothing. */
    readonly notice: EngineNotice | undefined;
}

/** What an engine's answer says of further work for it. */
export interface EngineNotice {
    /** Whether it leaves. */
    readonly isLeaving: boolean;
    /** The time for which it wants nothing more from the host that it answers; undefined if it names none. */
    readonly pause: NamedPause | undefined;
}

/** A time for which an engine wants no further requests, as it stands in an answer. */
export type NamedPause =
    | { readonly kind: "time"; readonly forMs: number }
    | { readonly kind: "unreadable"; readonly text: string };

/** How an exchange with an engine ended without a complete answer. */
export type ExchangeFailure =
    /** Nothing of the request was sent, so it can't have run. */
    | { readonly kind: "unsent"; readonly reason: string }
    /** The request may have run. */
    | { readonly kind: "broken"; readonly reason: string };

/** Receiver of an engine's answer, called as its parts arrive. */
export interface AnswerSink {
    head(head: EngineAnswerHead): void;
    /** Receives a part of the body; returns false to pause until the exchange's `resume` is called. */
    piece(bytes: Buffer): boolean;
    end(): void;
    fail(failure: ExchangeFailure): void;
}

/** One request in flight at an engine. */
export interface EngineExchange {
    /** Closes the connection at once, without a call of `fail`. */
    cancel(): void;
    resume(): void;
}

/** Sends requests to engines. */
export interface EngineTransport {
    send(req: EngineRequest, sink: AnswerSink): EngineExchange;
    /** Closes the connections kept open to an engine that has been removed. */
    forget(target: EngineTarget): void;
    close(): void;
}
