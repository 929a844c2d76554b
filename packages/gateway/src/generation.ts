import type { EngineInput, Sampling } from "@fulmarcleat/drivers";
import type { CallerName, RequestId } from "@fulmarcleat/ids";
import type { Priority } from "@fulmarcleat/resources";
import type { OfferedVersion } from "./buildOfferIndex.js";

/** One checked request for generated text. */
export interface Generation {
    readonly requestId: RequestId;
    readonly caller: CallerName;
    readonly offered: OfferedVersion;
    readonly priority: Priority;
    readonly input: EngineInput;
    readonly sampling: Sampling;
    readonly maxTokens: number;
    /** When the answer must be whole, in milliseconds of the host's clock. */
    readonly deadlineMs: number;
    /** Key of a request that may run at most once. */
    readonly key: string | undefined;
    /** Hash of what was asked, to tell a repeat from another request under the same key. */
    readonly requestHash: string;
}

/** Where the pieces of an answer go. */
export interface AnswerSink {
    /** Takes one piece; undefined where the caller can take more, else resolves once it can. */
    write(text: string): Promise<void> | undefined;
    /** Ends a whole answer. */
    finish(reason: "stop" | "length", tokens: number): Promise<void>;
    /** Drops pieces that did not go to the caller, before another run of the same request. */
    discard(): void;
    /** Whether anything went to the caller. */
    readonly started: boolean;
}
