import { ServeError } from "@fulmarcleat/errors";
import type { Resource } from "@fulmarcleat/resources";
import { Client } from "undici";
import type { CtlSettings } from "./ctlSettings.js";

/** One request to the operators' API. */
export interface ApiRequest {
    readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path below `/apis/v1/`. */
    readonly path: string;
    readonly body?: unknown;
    readonly ifMatch?: number;
}

/** What the API answered. */
export interface ApiReply {
    readonly status: number;
    /** Whether a change was made. */
    readonly changed: boolean;
    readonly body: unknown;
}

/** The operators' API. */
export interface ApiClient {
    /** Throws ServeError `peer_failed` where the API can't be reached. */
    send(request: ApiRequest): Promise<ApiReply>;
    /** Lines of a watch, until it ends. */
    watch(path: string): AsyncIterable<string>;
    close(): Promise<void>;
}

/** Body of a list. */
export interface ListBody {
    readonly items: readonly Resource[];
    readonly metadata: { readonly resourceVersion: number; readonly continue?: string };
}

const REQUEST_LIMIT_MS = 15_000;

/**
 * Creates a client of the operators' API.
 *
 * @param settings - Server and token
 * @returns the client
 *
 * @example
 * const { body } = await client.send({ method: "GET", path: "Offer" });
 */
export function createApiClient(settings: CtlSettings): ApiClient {
    const client = new Client(settings.server, { bodyTimeout: 0 });
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
                    signal: AbortSignal.timeout(REQUEST_LIMIT_MS),
                });
                const body: unknown = await res.body.json();
                return { status: res.statusCode, changed: res.headers["fulmarcleat-changed"] !== "false", body };
            }
            catch (cause) {
                throw createUnreachable(settings.server, request.method === "GET" ? "not_run" : "unknown", cause);
            }
        },
        async *watch(path) {
            let rest = "";
            const res = await client.request({ method: "GET", path: `/apis/v1/${path}`, headers: { authorization } });
            for await (const chunk of res.body.setEncoding("utf8")) {
                const lines = (rest + String(chunk)).split("\n");
                rest = lines.pop() ?? "";
                yield* lines;
            }
            if (rest !== "") {
                yield rest;
            }
        },
        close: () => client.destroy(),
    };
}

function createUnreachable(server: string, outcome: "not_run" | "unknown", cause: unknown): ServeError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new ServeError(`${server} can't be reached: ${reason}`, {
        code: "peer_failed",
        step: "ask API",
        peer: server,
        outcome,
    });
}
