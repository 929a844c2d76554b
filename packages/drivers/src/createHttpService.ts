import { ServeError } from "@fulmarcleat/errors";
import { buildResetConnector, collectBody, isValidStatus } from "@fulmarcleat/http";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import { isUnsent } from "./isUnsent.js";
import type { ServiceAnswer, ServiceCall, ServiceDriver } from "./serviceDriver.js";

/** Largest answer that is returned, in bytes; it is held in memory as a whole. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Settings of the connection to one plain HTTP service. */
export interface HttpServiceOptions {
    /** Address, such as `http://127.0.0.1:8080`. */
    readonly url: string;
    /** Longest wait for a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

/**
 * Creates a driver for a plain HTTP service.
 *
 * @param options - Address and connection timeout
 * @returns the driver; close it to close its connections
 *
 * @example
 * const answer = await createHttpService({ url, connectTimeoutMs: 1000 }).call(call);
 */
export function createHttpService(options: HttpServiceOptions): ServiceDriver {
    const shared = createAgent(options);
    return {
        call: call => call.freshConnection ? callOnce(options, call) : send(shared, options, call),
        close: () => shared.destroy(),
    };
}

function createAgent(options: HttpServiceOptions): Agent {
    return new Agent({ connect: buildResetConnector({ timeout: options.connectTimeoutMs }) });
}

async function callOnce(options: HttpServiceOptions, call: ServiceCall): Promise<ServiceAnswer> {
    const dispatcher = createAgent(options);
    try {
        return await send(dispatcher, options, call);
    }
    finally {
        await dispatcher.destroy();
    }
}

async function send(dispatcher: Dispatcher, options: HttpServiceOptions, call: ServiceCall): Promise<ServiceAnswer> {
    try {
        const res = await dispatcher.request({
            origin: options.url,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body.byteLength === 0 ? null : call.body,
            signal: call.signal,
        });
        if (!isValidStatus(res.statusCode)) {
            await res.body.dump();
            throw new Error(`invalid status ${res.statusCode}`);
        }
        const body = new Uint8Array(await collectBody(res.body, MAX_ANSWER_BYTES));
        return { status: res.statusCode, headers: flattenHeaders(res.headers), body };
    }
    catch (cause) {
        const outcome = isUnsent(cause) ? "not_run" : "unknown";
        throw new ServeError("the service did not answer", {
            code: "upstream_failed",
            step: "call service",
            peer: options.url,
            outcome,
            cause,
        });
    }
}

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}
