import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import { Agent } from "undici";
import { z } from "zod";
import { callJson } from "./callJson.js";
import type { KvDriver, KvEntry, KvSwap, KvSwapResult, KvWatchEvent, LeaseId } from "./kvDriver.js";
import { splitLines } from "./splitLines.js";

/** Settings of the connection to the key-value service. */
export interface EtcdKvOptions {
    /** Address of etcd's JSON gateway, such as `http://127.0.0.1:2379`. */
    readonly url: string;
    /** Longest wait for a reply, in milliseconds. */
    readonly timeoutMs: number;
}

const MS_PER_SECOND = 1000;
const STEP = "KV call";

const kvSchema = z.object({ key: z.string(), value: z.string().default(""), mod_revision: z.coerce.number() });
const headerSchema = z.object({ revision: z.coerce.number() });
const rangeSchema = z.object({ kvs: z.array(kvSchema).default([]) });
const txnSchema = z.object({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: rangeSchema.optional() })).default([]),
});
const leaseSchema = z.object({ ID: z.string() });
const keepAliveSchema = z.object({ result: z.object({ TTL: z.coerce.number().default(0) }) });
const watchSchema = z.object({
    result: z.object({
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: kvSchema })).default([]),
        canceled: z.boolean().default(false),
    }),
});

/**
 * Creates a driver for a key-value service with the JSON gateway of etcd v3.
 *
 * @param options - Address and timeout
 * @returns the driver; close it to close its connections
 *
 * @example
 * const kv = createEtcdKv({ url: cfg.kv.url, timeoutMs: 2000 });
 */
export function createEtcdKv(options: EtcdKvOptions): KvDriver {
    const dispatcher = new Agent({
        connections: 16,
        headersTimeout: options.timeoutMs,
        bodyTimeout: 0,
        connectTimeout: options.timeoutMs,
    });
    const post = async <T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<T> => {
        const signal = AbortSignal.timeout(options.timeoutMs);
        const call = {
            dispatcher,
            origin: options.url,
            method: "POST",
            path,
            body,
            accept: [200],
            schema,
            signal,
        } as const;
        return (await callJson({ ...call, step: STEP, code: "kv_unavailable" })).body;
    };
    return {
        get: async key => firstEntry((await post("/v3/kv/range", { key: encode(key) }, rangeSchema)).kvs),
        compareAndSwap: async swap => parseTxnReply(await post("/v3/kv/txn", toTxnRequest(swap), txnSchema)),
        grantLease: async ttlMs =>
            brandId<LeaseId>((await post("/v3/lease/grant", { TTL: toSeconds(ttlMs) }, leaseSchema)).ID),
        keepAlive: async lease => (await post("/v3/lease/keepalive", { ID: lease }, keepAliveSchema)).result.TTL > 0,
        revokeLease: async lease => {
            await post("/v3/lease/revoke", { ID: lease }, z.looseObject({}));
        },
        watch: (key, afterRevision, signal) => watchKey(dispatcher, options, key, afterRevision, signal),
        close: () => dispatcher.destroy(),
    };
}

function toTxnRequest(swap: KvSwap): unknown {
    const key = encode(swap.key);
    const put = { key, value: encode(swap.value), ...(swap.lease === undefined ? {} : { lease: swap.lease }) };
    return {
        compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(swap.expectedRevision) }],
        success: [{ request_put: put }],
        failure: [{ request_range: { key } }],
    };
}

function parseTxnReply(reply: z.infer<typeof txnSchema>): KvSwapResult {
    if (reply.succeeded) {
        return { kind: "applied", revision: reply.header.revision };
    }
    return { kind: "conflict", current: firstEntry(reply.responses[0]?.response_range?.kvs ?? []) };
}

function firstEntry(kvs: readonly z.infer<typeof kvSchema>[]): KvEntry | undefined {
    const first = kvs[0];
    return first === undefined ? undefined : toEntry(first);
}

function toEntry(kv: z.infer<typeof kvSchema>): KvEntry {
    return { value: decode(kv.value), revision: kv.mod_revision };
}

async function* watchKey(
    dispatcher: Agent,
    options: EtcdKvOptions,
    key: string,
    afterRevision: number,
    signal: AbortSignal,
): AsyncGenerator<KvWatchEvent> {
    const request = { create_request: { key: encode(key), start_revision: String(afterRevision + 1) } };
    try {
        const res = await dispatcher.request({
            origin: options.url,
            method: "POST",
            path: "/v3/watch",
            body: JSON.stringify(request),
            signal,
        });
        for await (const line of splitLines(res.body)) {
            yield* parseWatchLine(line);
        }
    }
    catch (cause) {
        throw new ServeError("the watch was interrupted", {
            code: "kv_unavailable",
            step: "KV watch",
            peer: options.url,
            outcome: "not_run",
            cause,
        });
    }
}

function* parseWatchLine(line: string): Generator<KvWatchEvent> {
    const { result } = watchSchema.parse(JSON.parse(line));
    for (const event of result.events) {
        yield event.type === "PUT"
            ? { kind: "put", entry: toEntry(event.kv) }
            : { kind: "deleted", revision: event.kv.mod_revision };
    }
}

function encode(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decode(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}

function toSeconds(ms: number): number {
    return Math.max(1, Math.ceil(ms / MS_PER_SECOND));
}
