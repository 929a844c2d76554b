import { z } from "zod";
import { createFaultRoute, createStandinServer, serverFaultShape } from "./createStandinServer.js";
import type { StandinRequest, StandinRoute, StandinServer } from "./createStandinServer.js";
import { createKvStore } from "./kvStore.js";
import type { KvEvent, KvStore, StoredEntry } from "./kvStore.js";

/** Address that a stand-in listens on. */
export interface StandinAddress {
    readonly host: string;
    readonly port: number;
}

/** Number of calls by name, and number of successful writes. */
export interface KvRecord {
    readonly calls: Readonly<Record<string, number>>;
    readonly writes: number;
}

/** A running key-value stand-in. */
export interface KvStandin {
    readonly url: string;
    readonly store: KvStore;
    setFaults(faults: KvFaults): void;
    /** Makes the open connections stop responding for good; new ones work. */
    silenceConnections(): void;
    /** Ends every lease immediately. */
    lapseLeases(): void;
    record(): KvRecord;
    close(): Promise<void>;
}

const MS_PER_SECOND = 1000;
/** Interval between checks for expired leases, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 50;

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

/** Faults of the key-value stand-in. */
export type KvFaults = z.infer<typeof faultSchema>;

/**
 * Starts a small key-value service that implements a subset of etcd's v3 JSON gateway.
 *
 * @param address - Address to listen on; port 0 chooses a free one
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
            store.leases.forEach(lease => store.expireLease(lease));
        }
    };
    const handleTxn = (request: StandinRequest): unknown => {
        count("txn");
        if (loseRequests > 0) {
            loseRequests -= 1;
            request.req.socket.destroy();
            return undefined;
        }
        const reply = executeTxn(store, txnSchema.parse(request.body));
        writes += reply.succeeded ? 1 : 0;
        if (loseReplies > 0) {
            loseReplies -= 1;
            request.req.socket.destroy();
            return undefined;
        }
        return reply;
    };
    const routes: StandinRoute[] = [
        route("/v3/kv/range", request => {
            count("range");
            return { kvs: formatEntries(rangeSchema.parse(request.body).key, store) };
        }),
        route("/v3/kv/txn", handleTxn),
        route("/v3/lease/grant", request => {
            count("grant");
            const { TTL } = grantSchema.parse(request.body);
            return { ID: store.grant(TTL * MS_PER_SECOND), TTL: String(TTL) };
        }),
        route("/v3/lease/keepalive", request => {
            count("keepalive");
            return {
                result: { TTL: String(Math.ceil(store.keepAlive(leaseSchema.parse(request.body).ID) / MS_PER_SECOND)) },
            };
        }),
        route("/v3/lease/revoke", request => {
            count("revoke");
            store.revoke(leaseSchema.parse(request.body).ID);
            return {};
        }),
        route("/v3/watch", request => {
            count("watch");
            return serveWatch(store, request);
        }),
        createFaultRoute(faultSchema, setFaults),
        { method: "GET", path: "/record", handle: () => ({ calls, writes }) },
    ];
    const server: StandinServer = await createStandinServer({ ...address, routes });
    const timer = setInterval(() => store.expireLeases(), EXPIRY_CHECK_INTERVAL_MS);
    return {
        url: server.url,
        store,
        setFaults,
        silenceConnections: () => server.silenceConnections(),
        lapseLeases: () => store.leases.forEach(lease => store.expireLease(lease)),
        record: () => ({ calls: { ...calls }, writes }),
        close: () => {
            clearInterval(timer);
            return server.close();
        },
    };
}

function route(path: string, handle: (request: StandinRequest) => unknown): StandinRoute {
    return { method: "POST", path, handle };
}

interface TxnReply {
    readonly header: { readonly revision: string };
    readonly succeeded: boolean;
    readonly responses: readonly unknown[];
}

function executeTxn(store: KvStore, txn: z.infer<typeof txnSchema>): TxnReply {
    const expected = txn.compare[0]?.mod_revision ?? 0;
    const put = txn.success[0]?.request_put;
    if (put === undefined) {
        throw new RangeError("the transaction contains no put request");
    }
    const revision = store.compareAndSwap(put.key, expected, put.value, put.lease);
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

function serveWatch(store: KvStore, request: StandinRequest): undefined {
    const { key, start_revision: start } = watchSchema.parse(request.body).create_request;
    const { res } = request;
    res.writeHead(200, { "content-type": "application/json" });
    const send = (event: KvEvent): void => {
        res.write(
            `${JSON.stringify({ result: { events: [{ type: event.type, kv: formatEntry(event.key, event) }] } })}\n`,
        );
    };
    res.write(`${JSON.stringify({ result: { created: true, events: [] } })}\n`);
    listMissedEvents(store, key, start).forEach(send);
    res.on("close", store.subscribe(key, send));
    return undefined;
}

function listMissedEvents(store: KvStore, key: string, start: number): readonly KvEvent[] {
    const retained = store.listEvents(key, start);
    const current = store.read(key);
    const isCovered = current === undefined || current.revision < start
        || retained.some(event => event.revision === current.revision);
    return isCovered ? retained : [{ type: "PUT", key, value: current.value, revision: current.revision }];
}
