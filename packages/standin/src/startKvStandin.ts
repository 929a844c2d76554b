import { z } from "zod";
import { createFaultRoute, createStandinServer, serverFaultShape } from "./createStandinServer.js";
import type { StandinCall, StandinRoute, StandinServer } from "./createStandinServer.js";
import { createKvStore } from "./kvStore.js";
import type { KvStore, StoredEntry, StoreEvent } from "./kvStore.js";

/** Settings of the stand-in's address. */
export interface StandinAddress {
    readonly host: string;
    readonly port: number;
}

/** How often each call came in. */
export interface KvRecord {
    readonly calls: Readonly<Record<string, number>>;
    readonly writes: number;
}

/** A running key-value stand-in. */
export interface KvStandin {
    readonly url: string;
    readonly store: KvStore;
    setFaults(faults: KvFaults): void;
    silenceConnections(): void;
    /** Ends every lease at once. */
    lapseLeases(): void;
    record(): KvRecord;
    close(): Promise<void>;
}

const MS_PER_SECOND = 1000;
const EXPIRE_EVERY_MS = 50;

const rangeSchema = z.object({ key: z.string() });
const txnSchema = z.object({
    compare: z.array(z.object({ key: z.string(), mod_revision: z.coerce.number() })).length(1),
    success: z.array(
        z.object({ request_put: z.object({ key: z.string(), value: z.string(), lease: z.string().optional() }) }),
    ).length(1),
});
const leaseSchema = z.object({ ID: z.string() });
const grantSchema = z.object({ TTL: z.coerce.number().positive() });
const watchSchema = z.object({
    create_request: z.object({ key: z.string(), start_revision: z.coerce.number().default(0) }),
});
const faultSchema = z.strictObject({
    loseReplies: z.int().min(0).optional(),
    loseRequests: z.int().min(0).optional(),
    lapseLeases: z.boolean().optional(),
    ...serverFaultShape,
});

/** Faults of the key-value service. */
export type KvFaults = z.infer<typeof faultSchema>;

/**
 * Starts a small key-value service that speaks a part of etcd's v3 JSON gateway.
 *
 * @param address - Where to listen
 * @returns the running stand-in
 *
 * @example
 * const kv = await startKvStandin({ host: "127.0.0.1", port: 0 });
 */
export async function startKvStandin(address: StandinAddress): Promise<KvStandin> {
    const store = createKvStore(() => performance.now());
    const calls: Record<string, number> = {};
    let writes = 0;
    let loseReplies = 0;
    let loseRequests = 0;
    const count = (name: string): void => {
        calls[name] = (calls[name] ?? 0) + 1;
    };
    const setFaults = (faults: KvFaults): void => {
        loseReplies = faults.loseReplies ?? loseReplies;
        loseRequests = faults.loseRequests ?? loseRequests;
        server.setFaults(faults);
        if (faults.lapseLeases === true) {
            store.leases.forEach(lease => store.lapse(lease));
        }
    };
    const swap = (call: StandinCall): unknown => {
        count("txn");
        if (loseRequests > 0) {
            loseRequests -= 1;
            call.req.socket.destroy();
            return undefined;
        }
        const reply = answerTxn(store, txnSchema.parse(call.body));
        writes += reply.succeeded ? 1 : 0;
        if (loseReplies > 0) {
            loseReplies -= 1;
            call.req.socket.destroy();
            return undefined;
        }
        return reply;
    };
    const routes: StandinRoute[] = [
        route("/v3/kv/range", call => {
            count("range");
            return { kvs: formatEntries(rangeSchema.parse(call.body).key, store) };
        }),
        route("/v3/kv/txn", swap),
        route("/v3/lease/grant", call => {
            count("grant");
            const { TTL } = grantSchema.parse(call.body);
            return { ID: store.grant(TTL * MS_PER_SECOND), TTL: String(TTL) };
        }),
        route("/v3/lease/keepalive", call => {
            count("keepalive");
            return {
                result: { TTL: String(Math.ceil(store.keepAlive(leaseSchema.parse(call.body).ID) / MS_PER_SECOND)) },
            };
        }),
        route("/v3/lease/revoke", call => {
            count("revoke");
            store.revoke(leaseSchema.parse(call.body).ID);
            return {};
        }),
        route("/v3/watch", call => {
            count("watch");
            return streamWatch(store, call);
        }),
        createFaultRoute(faultSchema, setFaults),
        { method: "GET", path: "/record", answer: () => ({ calls, writes }) },
    ];
    const server: StandinServer = await createStandinServer({ ...address, routes });
    const timer = setInterval(() => store.expire(), EXPIRE_EVERY_MS);
    return {
        url: server.url,
        store,
        setFaults,
        silenceConnections: () => server.silenceConnections(),
        lapseLeases: () => store.leases.forEach(lease => store.lapse(lease)),
        record: () => ({ calls: { ...calls }, writes }),
        close: () => {
            clearInterval(timer);
            return server.close();
        },
    };
}

function route(path: string, answer: (call: StandinCall) => unknown): StandinRoute {
    return { method: "POST", path, answer };
}

interface TxnReply {
    readonly header: { readonly revision: string };
    readonly succeeded: boolean;
    readonly responses: readonly unknown[];
}

function answerTxn(store: KvStore, txn: z.infer<typeof txnSchema>): TxnReply {
    const expected = txn.compare[0]?.mod_revision ?? 0;
    const put = txn.success[0]?.request_put;
    if (put === undefined) {
        throw new RangeError("no put");
    }
    const revision = store.swap(put.key, expected, put.value, put.lease);
    if (revision !== undefined) {
        return { header: { revision: String(revision) }, succeeded: true, responses: [] };
    }
    const responses = [{ response_range: { kvs: formatEntries(put.key, store) } }];
    return { header: { revision: String(store.revision) }, succeeded: false, responses };
}

function formatEntries(key: string, store: KvStore): readonly unknown[] {
    const entry = store.read(key);
    return entry === undefined ? [] : [formatEntry(key, entry)];
}

function formatEntry(key: string, entry: Pick<StoredEntry, "value" | "revision">): unknown {
    return { key, value: entry.value, mod_revision: String(entry.revision) };
}

function streamWatch(store: KvStore, call: StandinCall): undefined {
    const { key, start_revision: start } = watchSchema.parse(call.body).create_request;
    const { res } = call;
    res.writeHead(200, { "content-type": "application/json" });
    const send = (event: StoreEvent): void => {
        res.write(
            `${JSON.stringify({ result: { events: [{ type: event.type, kv: formatEntry(event.key, event) }] } })}\n`,
        );
    };
    res.write(`${JSON.stringify({ result: { created: true, events: [] } })}\n`);
    replay(store, key, start).forEach(send);
    res.on("close", store.subscribe(key, send));
    return undefined;
}

function replay(store: KvStore, key: string, start: number): readonly StoreEvent[] {
    const kept = store.history(key, start);
    const current = store.read(key);
    const isCovered = current === undefined || current.revision < start
        || kept.some(event => event.revision === current.revision);
    return isCovered ? kept : [{ type: "PUT", key, value: current.value, revision: current.revision }];
}
