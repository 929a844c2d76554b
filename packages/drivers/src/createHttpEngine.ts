import { ServeError } from "@fulmarcleat/errors";
import { BodyTooLargeError, collectBody } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import type { Incarnation, InstanceName, RequestId } from "@fulmarcleat/ids";
import { createParser } from "eventsource-parser";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { callJson } from "./callJson.js";
import type {
    EngineDriver,
    EngineReport,
    EngineRequest,
    EngineToken,
    OrderResult,
    StreamResult,
} from "./engineDriver.js";
import { isUnsent } from "./isUnsent.js";
import { readRefusalReason } from "./readRefusalReason.js";
import { readToken } from "./readToken.js";

/** Settings of the connection to one engine. */
export interface HttpEngineOptions {
    /** Address, such as `http://127.0.0.1:8000`. */
    readonly url: string;
    /** Longest wait for a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Longest wait for the headers of a reply, in milliseconds; defaults to `silenceMs`. */
    readonly openTimeoutMs?: number;
    /** Longest time without data on an open stream, in milliseconds. */
    readonly silenceMs: number;
}

/** Largest body of a refusal, in bytes. */
const MAX_REFUSAL_BYTES = 65_536;
/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 262_144;
/** Data of the event that ends a complete stream. */
const END_OF_STREAM = "[DONE]";

const orderSchema = z.object({
    status: z.enum(["done", "refused"]),
    reason: z.enum(["full", "old_fence", "not_found", "in_use", "failed"]).default("failed"),
    message: z.string().default(""),
});
const reportSchema = z.object({
    incarnation: z.string(),
    instances: z.array(z.object({ instance: z.string(), running: z.number() })),
    running: z.number(),
    waiting: z.number(),
    batchSlots: z.number(),
    adapterPlaces: z.number(),
});
const refusalSchema = z.object({ error: z.object({ code: z.string().default(""), message: z.string().default("") }) });

/**
 * Creates a driver for an engine with an OpenAI-compatible API, dynamic LoRA adapters and resumable streams.
 *
 * @param options - Address and timeouts
 * @returns the driver; close it to close its connections
 *
 * @example
 * const engine = createHttpEngine({ url, connectTimeoutMs: 1000, silenceMs: 5000 });
 */
export function createHttpEngine(options: HttpEngineOptions): EngineDriver {
    let dispatcher = createAgent(options);
    const order = async (path: string, body: unknown, signal: AbortSignal): Promise<OrderResult> => {
        const call = {
            dispatcher,
            origin: options.url,
            method: "POST",
            path,
            body,
            accept: [200, 409],
            schema: orderSchema,
            signal,
        } as const;
        return toOrderResult((await callJson({ ...call, step: "engine order", code: "upstream_failed" })).body);
    };
    return {
        load: ({ instance, weights, fence }, signal) =>
            order("/v1/load_lora_adapter", { lora_name: instance, lora_path: weights, fence }, signal),
        unload: (instance, fence, signal) => order("/v1/unload_lora_adapter", { lora_name: instance, fence }, signal),
        report: signal => readReport(dispatcher, options, signal),
        openStream: req =>
            openStream(req.freshConnection ? undefined : dispatcher, options, {
                method: "POST",
                path: req.input.kind === "chat" ? "/v1/chat/completions" : "/v1/completions",
                body: formatRequestBody(req),
                signal: req.signal,
            }),
        resumeStream: (requestId, afterIndex, signal) =>
            openStream(undefined, options, {
                method: "GET",
                path: `/v1/streams/${encodeURIComponent(requestId)}`,
                lastEventId: afterIndex,
                signal,
            }),
        cancelStream: requestId => cancelStream(options, requestId),
        probe: signal => probe(options, signal),
        reconnect: async () => {
            const previous = dispatcher;
            dispatcher = createAgent(options);
            await previous.destroy();
        },
        close: () => dispatcher.destroy(),
    };
}

function formatRequestBody(req: EngineRequest): string {
    const { input, sampling } = req;
    return JSON.stringify({
        model: req.instance,
        ...(input.kind === "chat" ? { messages: input.messages } : { prompt: input.prompt }),
        temperature: sampling.temperature,
        top_p: sampling.topP,
        seed: sampling.seed,
        stop: sampling.stop,
        max_tokens: req.maxTokens,
        priority: req.priority,
        request_id: req.requestId,
        stream: true,
    });
}

interface StreamCall {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    readonly lastEventId?: number;
    readonly signal: AbortSignal;
}

function createAgent(options: HttpEngineOptions): Agent {
    return new Agent({
        connectTimeout: options.connectTimeoutMs,
        headersTimeout: options.openTimeoutMs ?? options.silenceMs,
        bodyTimeout: options.silenceMs,
    });
}

/** Opens a stream on a pooled connection, or on a new one if `shared` is undefined, as a pooled one may have failed. */
async function openStream(
    shared: Dispatcher | undefined,
    options: HttpEngineOptions,
    call: StreamCall,
): Promise<StreamResult> {
    const dispatcher = shared ?? createAgent(options);
    const releaseConnection = (): void => {
        if (shared === undefined) {
            void dispatcher.destroy();
        }
    };
    try {
        const res = await dispatcher.request({
            origin: options.url,
            method: call.method,
            path: call.path,
            headers: {
                "content-type": "application/json",
                ...(call.lastEventId === undefined ? {} : { "last-event-id": String(call.lastEventId) }),
            },
            body: call.body,
            signal: call.signal,
        });
        if (res.statusCode === 200) {
            return { kind: "accepted", tokens: readTokens(res, options, releaseConnection) };
        }
        const refusal = await readRefusal(res, options);
        releaseConnection();
        return refusal;
    }
    catch (cause) {
        releaseConnection();
        if (cause instanceof ServeError) {
            throw cause;
        }
        throw new ServeError("the engine did not answer", {
            code: isTimeout(cause) ? "upstream_silent" : "upstream_failed",
            step: "open stream",
            peer: options.url,
            outcome: isUnsent(cause) ? "not_run" : "unknown",
            cause,
        });
    }
}

function isTimeout(err: unknown): boolean {
    return err instanceof Error && "code" in err && TIMEOUT_CODES.has(String(err.code));
}

const TIMEOUT_CODES: ReadonlySet<string> = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);

async function readRefusal(res: Dispatcher.ResponseData, options: HttpEngineOptions): Promise<StreamResult> {
    const reason = readRefusalReason(res.statusCode);
    if (reason === undefined) {
        await res.body.dump();
        throw new ServeError(`the engine answered status ${res.statusCode}`, {
            code: "upstream_failed",
            step: "open stream",
            peer: options.url,
            outcome: "unknown",
        });
    }
    const text = (await collectBody(res.body, MAX_REFUSAL_BYTES)).toString("utf8");
    const { error } = refusalSchema.parse(JSON.parse(text));
    return { kind: "refused", reason, message: error.message };
}

async function* readTokens(
    res: Dispatcher.ResponseData,
    options: HttpEngineOptions,
    releaseConnection: () => void,
): AsyncGenerator<EngineToken> {
    const details = { step: "read stream", peer: options.url, outcome: "ran" } as const;
    const decoder = new TextDecoder();
    let parsedTokens: EngineToken[] = [];
    let hasEnded = false;
    let openBytes = 0;
    const parser = createParser({
        onEvent(event) {
            openBytes = 0;
            if (event.data === END_OF_STREAM) {
                hasEnded = true;
                return;
            }
            parsedTokens.push(readToken(event.id ?? "", event.data));
        },
    });
    try {
        for await (const chunk of res.body) {
            openBytes += (chunk as Uint8Array).length;
            parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
            if (openBytes > MAX_EVENT_BYTES) {
                throw new BodyTooLargeError(MAX_EVENT_BYTES);
            }
            const tokens = parsedTokens;
            parsedTokens = [];
            for (const token of tokens) {
                yield token;
            }
        }
    }
    catch (cause) {
        const code = isTimeout(cause) ? "upstream_silent" : "stream_broken";
        throw new ServeError("the stream was interrupted", { ...details, code, cause });
    }
    finally {
        releaseConnection();
    }
    if (!hasEnded) {
        throw new ServeError("the stream ended before its end mark", { ...details, code: "stream_broken" });
    }
}

async function readReport(
    dispatcher: Dispatcher,
    options: HttpEngineOptions,
    signal: AbortSignal,
): Promise<EngineReport> {
    const call = {
        dispatcher,
        origin: options.url,
        method: "GET",
        path: "/load",
        accept: [200],
        schema: reportSchema,
        signal,
    } as const;
    const { body } = await callJson({ ...call, step: "engine report", code: "upstream_failed" });
    return {
        ...body,
        incarnation: brandId<Incarnation>(body.incarnation),
        instances: body.instances.map(entry => ({
            instance: brandId<InstanceName>(entry.instance),
            running: entry.running,
        })),
    };
}

async function cancelStream(options: HttpEngineOptions, requestId: RequestId): Promise<void> {
    const dispatcher = createAgent(options);
    const path = `/v1/streams/${encodeURIComponent(requestId)}/cancel`;
    try {
        const res = await dispatcher.request({
            origin: options.url,
            method: "POST",
            path,
            signal: AbortSignal.timeout(options.silenceMs),
        });
        await res.body.dump();
    }
    finally {
        await dispatcher.destroy();
    }
}

async function probe(options: HttpEngineOptions, signal: AbortSignal): Promise<boolean> {
    const dispatcher = createAgent(options);
    try {
        const res = await dispatcher.request({ origin: options.url, method: "GET", path: "/health", signal });
        await res.body.dump();
        return res.statusCode === 200;
    }
    catch {
        return false;
    }
    finally {
        await dispatcher.destroy();
    }
}

function toOrderResult(body: z.infer<typeof orderSchema>): OrderResult {
    return body.status === "done" ? { kind: "done" } : { kind: "refused", reason: body.reason, message: body.message };
}
