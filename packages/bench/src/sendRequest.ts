import type { Dispatcher } from "undici";
import type { TraceRequest } from "./createTrace.js";
import { formatModel } from "./formatModel.js";

/** Holds the answer that a caller of the benchmark received. */
export interface BenchAnswer {
    /** Position of the request in the trace. */
    readonly index: number;
    /** Times of the request and of the end of the answer, in milliseconds of the process's monotonic clock. */
    readonly sentMs: number;
    readonly endedMs: number;
    /** HTTP status; 0 if the connection was interrupted. */
    readonly status: number;
    /** Reason of a refusal or failure; undefined if the answer is complete. */
    readonly reason: string | undefined;
    /** Whether the answer ended with its end mark. */
    readonly isEnded: boolean;
    /** Text of each streamed event. */
    readonly pieces: readonly string[];
}

/** Configures how a request is sent. */
export interface SendOptions {
    readonly dispatcher: Dispatcher;
    /** Base URL of the gateway. */
    readonly origin: string;
    /** Bearer key of the caller. */
    readonly key: string;
    /** Deadline of the request, in milliseconds. */
    readonly deadlineMs: number;
}

const END_OF_STREAM = "data: [DONE]";

/**
 * Sends one request of a trace and reads the streamed answer.
 *
 * @param request - Request of the trace
 * @param options - Gateway, caller's key, deadline and HTTP client
 * @returns the answer; a failed connection gives status 0 instead of an error
 *
 * @example
 * const answer = await sendRequest(request, { dispatcher, origin, key, deadlineMs: 30_000 });
 */
export async function sendRequest(request: TraceRequest, options: SendOptions): Promise<BenchAnswer> {
    const sentMs = performance.now();
    const finish = (part: Pick<BenchAnswer, "status" | "reason" | "isEnded" | "pieces">): BenchAnswer => ({
        index: request.index,
        sentMs,
        endedMs: performance.now(),
        ...part,
    });
    try {
        const res = await options.dispatcher.request({
            origin: options.origin,
            method: "POST",
            path: "/v1/completions",
            headers: {
                authorization: `Bearer ${options.key}`,
                "content-type": "application/json",
                "fulmarcleat-priority": request.priority,
                "fulmarcleat-deadline-ms": String(options.deadlineMs),
            },
            body: JSON.stringify({
                model: formatModel(request.model),
                prompt: `request ${request.index}`,
                max_tokens: request.tokens,
                stream: true,
            }),
        });
        const text = await readText(res.body);
        if (res.statusCode !== 200) {
            return finish({ status: res.statusCode, reason: readErrorCode(text.text), isEnded: false, pieces: [] });
        }
        const pieces = readPieces(text.text);
        const isEnded = text.isEnded && text.text.includes(END_OF_STREAM);
        return finish({ status: 200, reason: isEnded ? undefined : "stream_broken", isEnded, pieces });
    }
    catch (err) {
        const reason = err instanceof Error ? err.name : "unknown";
        return finish({ status: 0, reason, isEnded: false, pieces: [] });
    }
}

async function readText(body: AsyncIterable<Buffer>): Promise<{ readonly text: string; readonly isEnded: boolean }> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of body) {
            chunks.push(chunk);
        }
        return { text: Buffer.concat(chunks).toString("utf8"), isEnded: true };
    }
    catch {
        return { text: Buffer.concat(chunks).toString("utf8"), isEnded: false };
    }
}

function readErrorCode(text: string): string {
    try {
        const body = JSON.parse(text) as { readonly error?: { readonly code?: string } };
        return body.error?.code ?? "unknown";
    }
    catch {
        return "unknown";
    }
}

function readPieces(text: string): readonly string[] {
    return text.split("\n\n").filter(event => event.startsWith("data: {")).map(event => {
        const body = JSON.parse(event.slice("data: ".length)) as { choices?: readonly { text?: string }[] };
        return body.choices?.[0]?.text ?? "";
    }).filter(piece => piece !== "");
}
