import type { EngineId, RequestId } from "@fulmarcleat/ids";
import type { EngineTarget } from "./engineControl.js";

/** A request as it goes to an engine. */
export interface EngineRequest {
    readonly target: EngineTarget;
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query, as the client sent them. */
    readonly path: string;
    /** Names and values in turn, as the client sent them, without those that concern one connection. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Time that the engine may take, in milliseconds. */
    readonly deadlineMs: number;
    /** 0 is served first, 9 last; undefined for a plain service. */
    readonly urgency: number | undefined;
    /** Version of the adapter or model that must run it; undefined for any. */
    readonly version: number | undefined;
    /** Last event of a broken stream to go on after. */
    readonly lastEventId: string | undefined;
}

/** How busy an engine said that it is. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Status with which an engine refuses a request for another engine, or for an adapter that it does not hold. */
export const MISDIRECTED = 421;

/** The beginning of an engine's answer. */
export interface EngineAnswerHead {
    readonly status: number;
    /** Names and values in turn, without those that concern one connection. */
    readonly headers: readonly string[];
    /** Id of the request that it answers, as the engine echoes it. */
    readonly requestId: string | undefined;
    /** The engine states that the request did not run and never will. */
    readonly isNotRun: boolean;
    readonly load: EngineLoad | undefined;
    /** The engine that answers, where it says so. */
    readonly instance: EngineId | undefined;
}

/** Why an exchange with an engine ended without a whole answer. */
export type ExchangeFailure =
    /** Nothing was sent. */
    | { readonly kind: "unsent"; readonly reason: string }
    /** The request may have run. */
    | { readonly kind: "broken"; readonly reason: string };

/** What takes an engine's answer as it comes. */
export interface AnswerSink {
    head(head: EngineAnswerHead): void;
    /** Gives false to pause; the exchange's `resume` goes on. */
    piece(bytes: Buffer): boolean;
    end(): void;
    fail(failure: ExchangeFailure): void;
}

/** One request under way at an engine. */
export interface EngineExchange {
    /** Closes the connection at once; `fail` is not called. */
    cancel(): void;
    resume(): void;
}

/** Sends requests to engines. */
export interface EngineTransport {
    send(req: EngineRequest, sink: AnswerSink): EngineExchange;
    /** Closes what is kept open towards an engine that is gone. */
    forget(target: EngineTarget): void;
    close(): void;
}
