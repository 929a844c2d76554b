import { ServeError } from "@fulmarcleat/errors";
import type { Resource } from "@fulmarcleat/resources";
import { Client } from "undici";
import type { CtlSettings } from "./ctlSettings.js";

/** One request to the operator API. */
export interface ApiRequest {
    readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path below `/apis/v1/`. */
    readonly path: string;
    readonly body?: unknown;
    readonly ifMatch?: number;
}

/** Reply of the operator API. */
export interface ApiReply {
    readonly status: number;
    /** False if the API reported that the request changed nothing. */
    readonly changed: boolean;
    readonly body: unknown;
}

/** Client of the operator API. */
export interface ApiClient {
    /** Sends a request; throws ServeError `peer_failed` if the API can't be reached or does not answer in time. */
    send(request: ApiRequest): Promise<ApiReply>;
    /** Yields the lines of a watch until it ends. */
    watch(path: string): AsyncIterable<string>;
    close(): Promise<void>;
}

/** Body of a list reply: one page of resources. */
export interface ListBody {
    readonly items: readonly Resource[];
    readonly metadata: { readonly resourceVersion: number; readonly continue?: string };
}

/** Timeout of a request other than a watch, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;
/** Longest time without a line on a watch, in milliseconds; the API sends bookmarks every five seconds by default. */
const WATCH_SILENCE_MS = 30_000;

/**
 * Creates a client of the operator API.
 *
 * @param settings - Address of the API and the operator's token
 * @param options - Longest silence on a watch, in milliseconds
 * @returns the client; close it to end its connections
 *
 * @example
 * const { body } = await client.send({ method: "GET", path: "Offer" });
 */
export function createApiClient(
    settings: CtlSettings,
    { watchSilenceMs = WATCH_SILENCE_MS }: { readonly watchSilenceMs?: number } = {},
): ApiClient {
    const client = new Client(settings.server, { bodyTimeout: watchSilenceMs });
    const authorization = `Bearer ${settings.token}`;
    return {
        async send(request) {
            try {
                const res = await client.request({
                    method: request.method,
                    path: `/apis/v1/${request.path}`,
                    headers: {
                        authorization,
                        ...(request.ifMatch === undefined ? {} : { "if-match": String(request.ifMatch) }),
                    },
                    body: request.body === undefined ? null : JSON.stringify(request.body),
                    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
                });
                const body: unknown = await res.body.json();
                return { status: res.statusCode, changed: res.headers["fulmarcleat-changed"] !== "false", body };
            }
            catch (cause) {
                throw createUnreachableError(settings.server, request.method === "GET" ? "not_run" : "unknown", cause);
            }
        },
        async *watch(path) {
            let partialLine = "";
            const res = await client.request({ method: "GET", path: `/apis/v1/${path}`, headers: { authorization } });
            for await (const chunk of res.body.setEncoding("utf8")) {
                const lines = (partialLine + String(chunk)).split("\n");
                partialLine = lines.pop() ?? "";
                yield* lines;
            }
            if (partialLine !== "") {
                yield partialLine;
            }
        },
        close: () => client.destroy(),
    };
}

function createUnreachableError(server: string, outcome: "not_run" | "unknown", cause: unknown): ServeError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new ServeError(`${server} can't be reached: ${reason}`, {
        code: "peer_failed",
        step: "ask API",
        peer: server,
        outcome,
    });
}
