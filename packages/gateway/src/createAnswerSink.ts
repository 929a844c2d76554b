import type { RequestId } from "@fulmarcleat/ids";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { AnswerSink } from "./generation.js";
import type { GenerationKind } from "./readGenerationBody.js";

/** Format and metadata of an answer. */
export interface AnswerSinkOptions {
    readonly kind: GenerationKind;
    /** Whether the answer is sent as server-sent events. */
    readonly stream: boolean;
    readonly requestId: RequestId;
    /** Adapter and version that ran, as `adapter@version`. */
    readonly model: string;
    /** Wall-clock time of the request, in milliseconds since the epoch. */
    readonly createdMs: number;
    /** Aborts the wait for a slow caller. */
    readonly signal: AbortSignal;
    /** Called when the first piece of text is written. */
    readonly onFirstChunk: () => void;
    /** Receives the body of a non-streamed answer when it is complete. */
    readonly onComplete: (body: string) => void;
}

const MS_PER_SECOND = 1000;

/**
 * Creates a sink that writes an answer to a response in the OpenAI format.
 *
 * @param res - Response whose head is not sent yet
 * @param options - Format, names and callbacks
 * @returns a streaming sink, or one that buffers the answer until it is complete
 *
 * @example
 * const sink = createAnswerSink(res, options);
 */
export function createAnswerSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    return options.stream ? createStreamSink(res, options) : createBufferedSink(res, options);
}

function createStreamSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    const format = createChunkFormatter(options);
    let started = false;
    const send = (text: string, finishReason: "stop" | "length" | undefined): Promise<void> | undefined => {
        const chunk = format(text, finishReason, !started);
        if (!started) {
            started = true;
            options.onFirstChunk();
            res.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "fulmarcleat-model": options.model,
            });
        }
        return res.write(chunk) || res.destroyed ? undefined : waitForDrain(res, options.signal);
    };
    return {
        write: text => send(text, undefined),
        async finish(reason) {
            await send("", reason);
            res.end("data: [DONE]\n\n");
        },
        discard: () => undefined,
        get started() {
            return started;
        },
    };
}

/** Waits until the response's write buffer has drained or the caller has disconnected; throws if aborted. */
async function waitForDrain(res: ServerResponse, signal: AbortSignal): Promise<void> {
    const wait = new AbortController();
    const abortWait = (): void => wait.abort();
    res.once("close", abortWait);
    signal.addEventListener("abort", abortWait, { once: true });
    try {
        await once(res, "drain", { signal: wait.signal });
    }
    catch {
        signal.throwIfAborted();
    }
    finally {
        res.removeListener("close", abortWait);
        signal.removeEventListener("abort", abortWait);
    }
}

function createBufferedSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    let chunks: string[] = [];
    let isSent = false;
    let hasFirstChunk = false;
    return {
        write(text) {
            if (!hasFirstChunk) {
                hasFirstChunk = true;
                options.onFirstChunk();
            }
            chunks.push(text);
            return undefined;
        },
        finish(reason, tokens) {
            const body = JSON.stringify(formatCompleteAnswer(options, chunks.join(""), reason, tokens));
            isSent = true;
            options.onComplete(body);
            res.writeHead(200, {
                "content-type": "application/json",
                "fulmarcleat-model": options.model,
                "fulmarcleat-outcome": "ran",
            });
            res.end(body);
            return Promise.resolve();
        },
        discard() {
            chunks = [];
        },
        get started() {
            return isSent;
        },
    };
}

type ChunkFormatter = (text: string, finishReason: "stop" | "length" | undefined, isFirst: boolean) => string;

/** Serializes the fields shared by all chunks of a stream once and returns a formatter for the rest. */
function createChunkFormatter(options: AnswerSinkOptions): ChunkFormatter {
    const created = Math.floor(options.createdMs / MS_PER_SECOND);
    const object = options.kind === "completion" ? "text_completion" : "chat.completion.chunk";
    const sharedFields = JSON.stringify({ id: options.requestId, created, model: options.model, object });
    const prefix = `data: ${sharedFields.slice(0, -1)},"choices":[{"index":0,"logprobs":null,`;
    return (text, finishReason, isFirst) => {
        const reason = finishReason === undefined ? "null" : `"${finishReason}"`;
        return `${prefix}${formatChunkContent(options.kind, text, isFirst)},"finish_reason":${reason}}]}\n\n`;
    };
}

function formatChunkContent(kind: GenerationKind, text: string, isFirst: boolean): string {
    switch (kind) {
        case "completion":
            return `"text":${JSON.stringify(text)}`;
        case "chat":
            return `"delta":{${isFirst ? '"role":"assistant",' : ""}"content":${JSON.stringify(text)}}`;
    }
}

function formatCompleteAnswer(
    options: AnswerSinkOptions,
    text: string,
    finishReason: "stop" | "length",
    tokens: number,
): unknown {
    const usage = { prompt_tokens: 0, completion_tokens: tokens, total_tokens: tokens };
    const head = {
        id: options.requestId,
        created: Math.floor(options.createdMs / MS_PER_SECOND),
        model: options.model,
        usage,
    };
    switch (options.kind) {
        case "completion":
            return {
                ...head,
                object: "text_completion",
                choices: [{ index: 0, text, finish_reason: finishReason, logprobs: null }],
            };
        case "chat":
            return {
                ...head,
                object: "chat.completion",
                choices: [{
                    index: 0,
                    message: { role: "assistant", content: text, refusal: null },
                    finish_reason: finishReason,
                    logprobs: null,
                }],
            };
    }
}
