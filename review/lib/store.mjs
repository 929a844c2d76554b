import { createServer } from "node:http";

const CALL_PREFIX = "/fulmarcleat/kv-";
const PAGE_ITEMS = 500;
const SNAPSHOT_INTERVAL_MS = 500;

/**
 * Starts a stand-in of the platform's store, as the users' pages describe it: items, watches, leases and conditional
 * changes. It can be away for a moment and come back from a copy that is some seconds old.
 */
export async function startStore() {
    let items = new Map();
    let leases = new Map();
    let history = [];
    let revision = 1;
    let oldest = 1;
    let lastLease = 1000;
    let era = 1;
    let isAway = false;
    let watchers = [];
    let snapshots = [];
    const writers = [];

    const send = (res, status, body) => {
        if (res.destroyed || res.writableEnded) {
            return;
        }
        const text = JSON.stringify(body);
        res.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            "Store-Era": String(era),
        });
        res.end(text);
    };
    const notify = () => {
        watchers = watchers.filter(({ prefix, after, res, timer }) => {
            const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length === 0) {
                return true;
            }
            clearTimeout(timer);
            send(res, 200, { events, storeRevision: revision });
            return false;
        });
    };
    const apply = (puts, removes) => {
        revision += 1;
        for (const { key, value, lease = 0 } of puts) {
            const item = { key, value, lease, revision, createRev: items.get(key)?.createRev ?? revision };
            items.set(key, item);
            history.push(item);
        }
        for (const key of removes) {
            if (items.delete(key)) {
                history.push({ key, revision, removed: true });
            }
        }
        notify();
        return revision;
    };
    const endLease = id => {
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            apply([], keys);
        }
    };
    const expireLeases = () => {
        if (!isAway) {
            [...leases].filter(([, lease]) => lease.endsAt <= performance.now()).forEach(([id]) => endLease(id));
        }
    };
    const watch = (query, res) => {
        const after = Number(query.get("after"));
        if (after < oldest || after > revision) {
            send(res, 410, {});
            return;
        }
        const watcher = { prefix: query.get("pathPrefix") ?? "", after, res, timer: undefined };
        watcher.timer = setTimeout(() => {
            watchers = watchers.filter(other => other !== watcher);
            send(res, 200, { events: [], storeRevision: revision });
        }, Number(query.get("waitMs") ?? 0));
        watchers.push(watcher);
        res.on("close", () => {
            clearTimeout(watcher.timer);
            watchers = watchers.filter(other => other !== watcher);
        });
        notify();
    };
    const change = ({ precondition = [], puts = [], remove = [] }, res) => {
        if (precondition.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            send(res, 412, { items: precondition.map(row => items.get(row.key)).filter(Boolean) });
        }
        else if (puts.some(put => (put.lease ?? 0) !== 0 && !leases.has(put.lease))) {
            send(res, 404, {});
        }
        else {
            send(res, 200, { revision: apply(puts, remove) });
        }
    };
    const handle = (url, body, res) => {
        const [call, id = ""] = url.pathname.slice(CALL_PREFIX.length).split("/");
        const query = url.searchParams;
        const lease = Number(id);
        switch (call) {
            case "key": {
                const item = items.get(query.get("key") ?? "");
                send(res, item === undefined ? 404 : 200, { ...item, storeRevision: revision });
                return;
            }
            case "range": {
                const prefix = query.get("pathPrefix") ?? "";
                const found = [...items.values()]
                    .filter(item => item.key.startsWith(prefix) && item.key > (query.get("after") ?? ""))
                    .sort((a, b) => a.key < b.key ? -1 : 1);
                const shown = found.slice(0, PAGE_ITEMS);
                send(res, 200, { items: shown, truncated: found.length > PAGE_ITEMS, storeRevision: revision });
                return;
            }
            case "watch":
                watch(query, res);
                return;
            case "txn":
                change(body, res);
                return;
            case "lease":
                lastLease += 1;
                leases.set(lastLease, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
                send(res, 200, { lease: lastLease, ttlMs: body.ttlMs });
                return;
            case "keep": {
                const kept = leases.get(lease);
                if (kept !== undefined) {
                    kept.endsAt = performance.now() + kept.ttlMs;
                }
                send(res, kept === undefined ? 404 : 200, { ttlMs: kept?.ttlMs });
                return;
            }
            case "lease-end":
                endLease(lease);
                send(res, 200, {});
                return;
            default:
                send(res, 404, {});
        }
    };
    const server = createServer((req, res) => {
        if (isAway) {
            req.socket.destroy();
            return;
        }
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => {
            if (isAway) {
                req.socket.destroy();
                return;
            }
            const text = Buffer.concat(chunks).toString("utf8");
            handle(new URL(req.url, "http://store"), text === "" ? {} : JSON.parse(text), res);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const timers = [
        setInterval(expireLeases, 100),
        setInterval(() => {
            if (!isAway) {
                const copy = { items: new Map(items), leases: new Map(leases), history: [...history], revision, oldest };
                snapshots = [...snapshots, { ...copy, atMs: performance.now() }].slice(-60);
            }
        }, SNAPSHOT_INTERVAL_MS),
    ];
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        port: server.address().port,
        get era() {
            return era;
        },
        get revision() {
            return revision;
        },
        /** Writes a key as the operator or an engine does; undefined while the store is away. */
        put(key, value) {
            return isAway ? undefined : apply([{ key, value: encode(value) }], []);
        },
        remove(key) {
            return isAway ? undefined : apply([], [key]);
        },
        keys: () => [...items.keys()],
        /** Calls a writer when the store is back from a copy, so that it writes again what it had written. */
        onReturn: writer => void writers.push(writer),
        /** The store goes away for `awayMs` and comes back from a copy that is `ageMs` old. */
        async restore(ageMs, awayMs) {
            const lostFrom = performance.now() - ageMs;
            const copy = snapshots.findLast(snapshot => snapshot.atMs <= lostFrom);
            if (copy === undefined) {
                throw new Error("there is no copy that old yet");
            }
            const former = revision;
            isAway = true;
            watchers.forEach(({ res, timer }) => {
                clearTimeout(timer);
                res.destroy();
            });
            watchers = [];
            server.closeAllConnections();
            await new Promise(resolve => setTimeout(resolve, awayMs));
            items = new Map(copy.items);
            history = [...copy.history];
            revision = copy.revision;
            oldest = copy.oldest;
            // The leases of the copy run on for as long as they were asked for.
            leases = new Map([...copy.leases].map(([id, { ttlMs }]) =>
                [id, { ttlMs, endsAt: performance.now() + ttlMs }]
            ));
            era += 1;
            isAway = false;
            writers.forEach(writer => writer());
            return { formerRevision: former, revision: copy.revision };
        },
        close() {
            timers.forEach(timer => clearInterval(timer));
            watchers.forEach(({ timer }) => clearTimeout(timer));
            server.closeAllConnections();
            server.close();
        },
    };
}
