import type { EngineInput, Sampling } from "@fulmarcleat/drivers";
import type { CallerName, RequestId } from "@fulmarcleat/ids";
import type { Priority } from "@fulmarcleat/resources";
import type { OfferedVersion } from "./buildOfferIndex.js";

/** A validated request for generated text. */
export interface Generation {
    readonly requestId: RequestId;
    readonly caller: CallerName;
    readonly offered: OfferedVersion;
    readonly priority: Priority;
    readonly input: EngineInput;
    readonly sampling: Sampling;
    /** Maximum number of tokens to generate. */
    readonly maxTokens: number;
    /** Deadline for the complete answer, in milliseconds of the host's clock. */
    readonly deadlineMs: number;
    /** Idempotency key; a request with a key runs at most once. */
    readonly key: string | undefined;
    /** Hash of the request's content, to detect that a key is reused for another request. */
    readonly requestHash: string;
}

/** Destination of an answer's text. */
export interface AnswerSink {
    /** Writes a piece of text; returns undefined, or a promise to await before the next write (backpressure). */
    write(text: string): Promise<void> | undefined;
    /** Ends a complete answer. */
    finish(reason: "stop" | "length", tokens: number): Promise<void>;
    /** Discards text not yet sent to the caller, before the request runs again. */
    discard(): void;
    /** Whether anything was sent to the caller. */
    readonly started: boolean;
}
