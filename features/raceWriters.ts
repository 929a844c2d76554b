import type { Api, WatchLine } from "@fulmarcleat/api";
import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { setTimeout as pause } from "node:timers/promises";

/** Sizes of a race. */
export interface RaceOptions {
    readonly writers: number;
    /** Changes that are tried, all writers together. */
    readonly changes: number;
    /** A reply of the key-value service is lost once in so many changes. */
    readonly loseEvery: number;
}

/** How one try ended. */
export interface WriteAttempt {
    readonly name: string;
    readonly weight: number;
    readonly status: number;
    readonly code: string | undefined;
    readonly resourceVersion: number;
    readonly tookMs: number;
}

/** What a race came to. */
export interface RaceResult {
    readonly attempts: readonly WriteAttempt[];
    /** What one watcher saw, through the replacement of the API that it watched. */
    readonly watchedLines: readonly WatchLine[];
    readonly tookMs: number;
}

const HEADERS = { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` };
const SHARED = 4;
const RETRY_MS = 20;

/**
 * Lets writers race over two APIs while replies are lost and one API is replaced.
 *
 * @param fleet - The fleet
 * @param options - Sizes
 * @returns what each try came to, and what a watcher saw
 *
 * @example
 * const { tries } = await raceWriters(fleet, { writers: 20, changes: 2000, loseEvery: 20 });
 */
export async function raceWriters(fleet: Fleet, options: RaceOptions): Promise<RaceResult> {
    const apis = [await fleet.startApi(1), await fleet.startApi(2)];
    const urls = apis.map(api => api.url);
    for (let at = 0; at < SHARED; at += 1) {
        await put(urls[0] ?? "", "POST", `shared-${at}`, 1, undefined);
    }
    const start = await readVersion(urls[1] ?? "");
    const watch = startWatcher(urls, start);
    const tries: WriteAttempt[] = [];
    const startMs = performance.now();
    const each = Math.ceil(options.changes / options.writers);
    let tried = 0;
    const replaced = replaceApi(fleet, apis[0], urls, () => tried >= options.changes / 2);
    await Promise.all(Array.from({ length: options.writers }, async (unused, writer) => {
        for (let round = 0; round < each; round += 1) {
            tried += 1;
            if (tried % options.loseEvery === 0) {
                fleet.kv.setFaults({ loseReplies: 1 });
            }
            tries.push(await tryChange(urls[writer % 2] ?? "", writer, round));
        }
    }));
    const tookMs = performance.now() - startMs;
    await replaced;
    const last = await readVersion(urls[1] ?? "");
    const seen = await watch(last);
    return { attempts: tries, watchedLines: seen, tookMs };
}

async function tryChange(url: string, writer: number, round: number): Promise<WriteAttempt> {
    if (round % 2 === 0) {
        return put(url, "POST", `own-${writer}-${round}`, round + 1, undefined);
    }
    const name = `shared-${(writer + round) % SHARED}`;
    const res = await send(url, `Caller/${name}`, { headers: HEADERS });
    const present = await res.json() as { metadata?: { resourceVersion?: number } };
    return put(url, "PATCH", name, 1 + writer + round / 1000, present.metadata?.resourceVersion);
}

async function put(
    url: string,
    method: "POST" | "PATCH",
    name: string,
    weight: number,
    ifMatch: number | undefined,
): Promise<WriteAttempt> {
    const startMs = performance.now();
    const resource = { kind: "Caller", metadata: { name }, spec: { keyHashes: [hashSecret(name)], weight } };
    const res = await send(url, method === "POST" ? "Caller" : `Caller/${name}`, {
        method,
        headers: { ...HEADERS, ...(ifMatch === undefined ? {} : { "if-match": String(ifMatch) }) },
        body: JSON.stringify(method === "POST" ? resource : { spec: { weight } }),
    });
    const body = await res.json() as {
        readonly error?: { readonly code: string };
        readonly metadata?: { readonly resourceVersion: number };
    };
    return {
        name,
        weight,
        status: res.status,
        code: body.error?.code,
        resourceVersion: body.metadata?.resourceVersion ?? 0,
        tookMs: performance.now() - startMs,
    };
}

async function send(url: string, path: string, init: RequestInit): Promise<Response> {
    try {
        return await fetch(`${url}/apis/v1/${path}`, init);
    }
    catch {
        return new Response(JSON.stringify({ error: { code: "unreachable" } }), { status: 503 });
    }
}

async function replaceApi(
    fleet: Fleet,
    api: Api | undefined,
    urls: string[],
    isDue: () => boolean,
): Promise<void> {
    while (!isDue()) {
        await pause(RETRY_MS);
    }
    const next = await fleet.startApi(3);
    urls[0] = next.url;
    await api?.stop();
}

async function readVersion(url: string): Promise<number> {
    const res = await fetch(`${url}/apis/v1/Caller?limit=1`, { headers: HEADERS });
    const body = await res.json() as { readonly metadata: { readonly resourceVersion: number } };
    return body.metadata.resourceVersion;
}

function startWatcher(urls: readonly string[], start: number): (until: number) => Promise<readonly WatchLine[]> {
    const seen: WatchLine[] = [];
    let after = start;
    let until = Number.POSITIVE_INFINITY;
    const follow = async (): Promise<void> => {
        while (after < until) {
            await readOnce(urls[0] ?? "", after, line => {
                if (line.type === "ERROR") {
                    throw new Error(line.message);
                }
                after = line.resourceVersion;
                if (line.type !== "BOOKMARK") {
                    seen.push(line);
                }
                return after < until;
            });
            await pause(RETRY_MS);
        }
    };
    const following = follow();
    return async last => {
        until = last;
        await following;
        return seen;
    };
}

async function readOnce(url: string, after: number, take: (line: WatchLine) => boolean): Promise<void> {
    const stop = new AbortController();
    try {
        const res = await fetch(`${url}/apis/v1/Caller?watch=true&resourceVersion=${after}`, {
            headers: HEADERS,
            signal: stop.signal,
        });
        if (res.status !== 200 || res.body === null) {
            return;
        }
        let rest = "";
        for await (const chunk of res.body.pipeThrough(new TextDecoderStream())) {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop() ?? "";
            for (const line of lines) {
                if (!take(JSON.parse(line) as WatchLine)) {
                    return;
                }
            }
        }
    }
    catch (err) {
        if (err instanceof Error && err.message.includes("list again")) {
            throw err;
        }
    }
    finally {
        stop.abort();
    }
}
