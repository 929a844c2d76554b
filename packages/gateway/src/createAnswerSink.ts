import type { RequestId } from "@fulmarcleat/ids";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { AnswerSink } from "./generation.js";
import type { GenerationKind } from "./readGenerationBody.js";

/** How an answer is written. */
export interface AnswerSinkOptions {
    readonly kind: GenerationKind;
    readonly stream: boolean;
    readonly requestId: RequestId;
    /** Adapter and version that ran, as callers name it. */
    readonly model: string;
    /** Wall time of the request, in milliseconds. */
    readonly createdMs: number;
    /** Ends waiting for a slow caller. */
    readonly signal: AbortSignal;
    readonly onFirstPiece: () => void;
    /** Takes the whole answer once it is complete. */
    readonly onWhole: (body: string) => void;
}

const MS_PER_SECOND = 1000;

/**
 * Creates the sink that writes an answer in the OpenAI format.
 *
 * @param res - The response
 * @param options - Format and names
 * @returns the sink
 *
 * @example
 * const sink = createAnswerSink(res, options);
 */
export function createAnswerSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    return options.stream ? createStreamSink(res, options) : createWholeSink(res, options);
}

function createStreamSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    const format = createChunkFormatter(options);
    let started = false;
    const send = (text: string, finishReason: "stop" | "length" | undefined): Promise<void> | undefined => {
        const chunk = format(text, finishReason, !started);
        if (!started) {
            started = true;
            options.onFirstPiece();
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

/** Waits until a slow caller has taken what was written, or until the request ends. */
async function waitForDrain(res: ServerResponse, signal: AbortSignal): Promise<void> {
    const waiting = new AbortController();
    const stop = (): void => waiting.abort();
    res.once("close", stop);
    signal.addEventListener("abort", stop, { once: true });
    try {
        await once(res, "drain", { signal: waiting.signal });
    }
    catch {
        signal.throwIfAborted();
    }
    finally {
        res.removeListener("close", stop);
        signal.removeEventListener("abort", stop);
    }
}

function createWholeSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    let pieces: string[] = [];
    let sent = false;
    let isTimed = false;
    return {
        write(text) {
            if (!isTimed) {
                isTimed = true;
                options.onFirstPiece();
            }
            pieces.push(text);
            return undefined;
        },
        finish(reason, tokens) {
            const body = JSON.stringify(formatWhole(options, pieces.join(""), reason, tokens));
            sent = true;
            options.onWhole(body);
            res.writeHead(200, {
                "content-type": "application/json",
                "fulmarcleat-model": options.model,
                "fulmarcleat-outcome": "ran",
            });
            res.end(body);
            return Promise.resolve();
        },
        discard() {
            pieces = [];
        },
        get started() {
            return sent;
        },
    };
}

type ChunkFormatter = (text: string, finishReason: "stop" | "length" | undefined, isFirst: boolean) => string;

/** Writes what is the same in every chunk of a stream only once. */
function createChunkFormatter(options: AnswerSinkOptions): ChunkFormatter {
    const created = Math.floor(options.createdMs / MS_PER_SECOND);
    const object = options.kind === "completion" ? "text_completion" : "chat.completion.chunk";
    const head = JSON.stringify({ id: options.requestId, created, model: options.model, object });
    const before = `data: ${head.slice(0, -1)},"choices":[{"index":0,"logprobs":null,`;
    return (text, finishReason, isFirst) => {
        const reason = finishReason === undefined ? "null" : `"${finishReason}"`;
        return `${before}${formatPiece(options.kind, text, isFirst)},"finish_reason":${reason}}]}\n\n`;
    };
}

function formatPiece(kind: GenerationKind, text: string, isFirst: boolean): string {
    switch (kind) {
        case "completion":
            return `"text":${JSON.stringify(text)}`;
        case "chat":
            return `"delta":{${isFirst ? '"role":"assistant",' : ""}"content":${JSON.stringify(text)}}`;
    }
}

function formatWhole(
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
