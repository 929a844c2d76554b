// A small stand-in of the platform's metadata store, as PROTOCOL.md tells it.
import { createServer } from "node:http";
import { readBody, sendJson } from "./http.mjs";

/** Milliseconds between two looks for leases that have ended. */
const LEASE_CHECK_MS = 100;

/**
 * Starts a store.
 *
 * @returns its port, and `put`, `remove` and `read` for the operator and the engines
 */
export async function startStore() {
    const items = new Map();
    const leases = new Map();
    const history = [];
    let watchers = [];
    let revision = 1;
    let nextLease = 1;

    const wake = () => {
        const waiting = watchers;
        watchers = [];
        waiting.forEach(watcher => watcher.look());
    };
    const apply = (puts, removes) => {
        revision += 1;
        for (const { key, value, lease = 0 } of puts) {
            const createRev = items.get(key)?.createRev ?? revision;
            const item = { key, value, revision, createRev, lease };
            items.set(key, item);
            history.push(item);
        }
        for (const key of removes) {
            if (items.delete(key)) {
                history.push({ key, revision, removed: true });
            }
        }
        wake();
        return revision;
    };
    const endLease = lease => {
        leases.delete(lease);
        const keys = [...items.values()].filter(item => item.lease === lease).map(item => item.key);
        if (keys.length > 0) {
            apply([], keys);
        }
    };
    const leaseTimer = setInterval(() => {
        const now = performance.now();
        [...leases].filter(([, { endsMs }]) => endsMs <= now).forEach(([lease]) => endLease(lease));
    }, LEASE_CHECK_MS);

    const range = (query, res) => {
        const prefix = query.get("pathPrefix") ?? "";
        const after = query.get("after") ?? "";
        const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, 500);
        sendJson(res, 200, {
            items: page.map(key => items.get(key)),
            truncated: page.length < keys.length,
            storeRevision: revision,
        });
    };
    const watch = (query, res) => {
        const prefix = query.get("pathPrefix") ?? "";
        const after = Number(query.get("after"));
        const watcher = {
            look(isOver = false) {
                const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
                if (events.length > 0 || isOver) {
                    clearTimeout(timer);
                    sendJson(res, 200, { events, storeRevision: revision });
                }
                else {
                    watchers.push(watcher);
                }
            },
        };
        const timer = setTimeout(() => {
            watchers = watchers.filter(other => other !== watcher);
            watcher.look(true);
        }, Number(query.get("waitMs") ?? 0));
        watcher.look();
    };
    const transact = ({ precondition = [], puts = [], remove = [] }, res) => {
        const isMet = precondition.every(row => (items.get(row.key)?.revision ?? 0) === row.revision);
        if (!isMet) {
            const found = precondition.map(row => items.get(row.key)).filter(item => item !== undefined);
            sendJson(res, 412, { items: found });
        }
        else if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
            sendJson(res, 404, {});
        }
        else {
            sendJson(res, 200, { revision: apply(puts, remove) });
        }
    };
    const handle = async (req, res) => {
        const url = new URL(req.url, "http://store");
        const [, , call, id] = url.pathname.split("/");
        const body = await readBody(req);
        const fields = body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
        switch (call) {
            case "kv-key": {
                const item = items.get(url.searchParams.get("key"));
                sendJson(res, item === undefined ? 404 : 200, { ...item, storeRevision: revision });
                return;
            }
            case "kv-range":
                range(url.searchParams, res);
                return;
            case "kv-watch":
                watch(url.searchParams, res);
                return;
            case "kv-txn":
                transact(fields, res);
                return;
            case "kv-lease": {
                const lease = nextLease++;
                leases.set(lease, { ttlMs: fields.ttlMs, endsMs: performance.now() + fields.ttlMs });
                sendJson(res, 200, { lease, ttlMs: fields.ttlMs });
                return;
            }
            case "kv-keep": {
                const lease = leases.get(Number(id));
                if (lease !== undefined) {
                    lease.endsMs = performance.now() + lease.ttlMs;
                }
                sendJson(res, lease === undefined ? 404 : 200, {});
                return;
            }
            case "kv-lease-end":
                endLease(Number(id));
                sendJson(res, 200, {});
                return;
            default:
                sendJson(res, 404, {});
        }
    };
    const server = createServer((req, res) => void handle(req, res).catch(() => res.destroy()));
    await new Promise(resolve => void server.listen(0, "127.0.0.1", resolve));
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        port: server.address().port,
        put: (key, value) => apply([{ key, value: encode(value) }], []),
        remove: key => apply([], [key]),
        read(key) {
            const item = items.get(key);
            return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
        },
        listKeys: () => [...items.keys()],
        close() {
            clearInterval(leaseTimer);
            server.close();
            server.closeAllConnections();
        },
    };
}
