import type {
    AnswerSink,
    EngineAnswerHead,
    EngineExchange,
    EngineRequest,
    EngineTarget,
    EngineTransport,
} from "@fulmarcleat/directory";
import type { Dispatcher } from "undici";
import { createConnectionPool } from "./createConnectionPool.js";
import type { ConnectionPool, ConnectionPoolOptions, PooledConnection } from "./createConnectionPool.js";
import { isValidStatus } from "./isValidStatus.js";

/** How a transport writes the headers of its requests and reads the heads of their answers. */
export interface HttpFormat<Req extends EngineRequest> {
    /** Returns alternating names and values of all headers of a request. */
    buildHeaders(req: Req): readonly string[];
    /** Decodes the status and the alternating names and values of the headers of an answer. */
    parseHead(status: number, rawHeaders: readonly string[], req: Req): EngineAnswerHead;
    /** Whether a request may still be written, asked when its connection is open. */
    mayWrite?(req: Req): boolean;
}

/** Sends requests over HTTP. */
export interface HttpTransport<Req extends EngineRequest> extends Pick<EngineTransport, "forget" | "close"> {
    send(req: Req, sink: AnswerSink): EngineExchange;
}

/**
 * Creates an HTTP transport, with one connection pool per target and no pipelining.
 *
 * @param options - Timeouts and limits of the connection pools
 * @param format - Format of the heads of requests and answers
 * @returns the transport
 *
 * @example
 * const transport = createHttpTransport(options, { buildHeaders: req => req.headers, parseHead: parseAnswerHead });
 */
export function createHttpTransport<Req extends EngineRequest>(
    options: ConnectionPoolOptions,
    format: HttpFormat<Req>,
): HttpTransport<Req> {
    const poolsByTarget = new Map<string, ConnectionPool>();
    const open = (target: EngineTarget): ConnectionPool => {
        const key = formatKey(target);
        const pool = poolsByTarget.get(key) ?? createConnectionPool(target, options);
        poolsByTarget.set(key, pool);
        return pool;
    };
    return {
        send(req, sink) {
            const pool = open(req.target);
            const connection = pool.acquire(req.requestId);
            let wasSent = false;
            let resume: (() => void) | undefined;
            let isSettled = false;
            const settle = (notify: () => void): void => {
                if (!isSettled) {
                    isSettled = true;
                    notify();
                }
            };
            const failExchange = (reason: string): void => {
                pool.discard(connection);
                settle(() => sink.fail({ kind: wasSent ? "broken" : "unsent", reason }));
            };
            connection.client.dispatch(buildDispatchOptions(req, format.buildHeaders(req)), {
                onConnect(abort) {
                    if (format.mayWrite?.(req) === false) {
                        abort(new Error("the engine takes no further work"));
                        return;
                    }
                    wasSent = true;
                },
                onHeaders(status, rawHeaders, resumeRequest) {
                    resume = resumeRequest;
                    if (!isValidStatus(status)) {
                        failExchange(`invalid status ${status}`);
                        return false;
                    }
                    if (!isSettled && status >= MIN_FINAL_STATUS) {
                        const rawTexts = (rawHeaders ?? []).map(bytes => bytes.toString("latin1"));
                        const head = readRefusal(format.parseHead(status, rawTexts, req), connection);
                        if (head.isNotRun) {
                            connection.refusedIds.add(req.requestId);
                        }
                        sink.head(head);
                    }
                    return true;
                },
                onData: bytes => isSettled || sink.piece(bytes),
                onComplete() {
                    connection.hasAnswered = true;
                    pool.release(connection);
                    settle(() => sink.end());
                },
                onError: err => failExchange(describeError(err)),
            });
            return {
                cancel() {
                    isSettled = true;
                    pool.discard(connection);
                },
                resume: () => resume?.(),
            };
        },
        forget(target) {
            const key = formatKey(target);
            poolsByTarget.get(key)?.close();
            poolsByTarget.delete(key);
        },
        close() {
            poolsByTarget.forEach(pool => pool.close());
            poolsByTarget.clear();
        },
    };
}

/**
 * Leaves a refusal's statement that the request did not run only if it can belong to the request: one without an id may
 * be a copy of an earlier refusal on the same connection.
 */
function readRefusal(head: EngineAnswerHead, { hasAnswered }: PooledConnection): EngineAnswerHead {
    return head.isNotRun && head.requestId === undefined && hasAnswered ? { ...head, isNotRun: false } : head;
}

/** Lowest status of a final response; 1xx responses are informational and followed by a final one. */
const MIN_FINAL_STATUS = 200;

function formatKey(target: EngineTarget): string {
    return `${target.id}@${target.address.ip}:${target.address.port}`;
}

function buildDispatchOptions(req: EngineRequest, headers: readonly string[]): Dispatcher.DispatchOptions {
    return {
        method: req.method as Dispatcher.HttpMethod,
        path: req.path,
        headers: [...headers],
        body: req.body.length === 0 ? null : req.body,
    };
}

function describeError(err: unknown): string {
    if (err instanceof Error) {
        return "code" in err && typeof err.code === "string" ? err.code : err.message;
    }
    return String(err);
}
