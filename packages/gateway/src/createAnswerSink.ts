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
    let started = false;
    const send = async (text: string, finishReason: "stop" | "length" | null): Promise<void> => {
        if (!started) {
            started = true;
            options.onFirstPiece();
            res.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "fulmarcleat-model": options.model,
            });
        }
        if (!res.write(`data: ${JSON.stringify(formatChunk(options, text, finishReason))}\n\n`) && !res.destroyed) {
            await Promise.race([once(res, "drain"), once(res, "close")]);
        }
    };
    return {
        write: text => send(text, null),
        async finish(reason) {
            await send("", reason);
            res.end("data: [DONE]\n\n");
        },
        get started() {
            return started;
        },
    };
}

function createWholeSink(res: ServerResponse, options: AnswerSinkOptions): AnswerSink {
    const pieces: string[] = [];
    let sent = false;
    return {
        write(text) {
            if (pieces.length === 0) {
                options.onFirstPiece();
            }
            pieces.push(text);
            return Promise.resolve();
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
        get started() {
            return sent;
        },
    };
}

function formatChunk(options: AnswerSinkOptions, text: string, finishReason: "stop" | "length" | null): unknown {
    const head = {
        id: options.requestId,
        created: Math.floor(options.createdMs / MS_PER_SECOND),
        model: options.model,
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
                object: "chat.completion.chunk",
                choices: [{
                    index: 0,
                    delta: { role: "assistant", content: text },
                    finish_reason: finishReason,
                    logprobs: null,
                }],
            };
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
