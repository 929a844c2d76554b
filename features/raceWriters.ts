import type { Api, WatchLine } from "@fulmarcleat/api";
import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { setTimeout as sleep } from "node:timers/promises";

/** Configures a race of concurrent writers. */
export interface RaceOptions {
    /** Number of concurrent writers. */
    readonly writers: number;
    /** Number of attempted changes of all writers together. */
    readonly changes: number;
    /** Number of changes per lost reply of the key-value service. */
    readonly loseEvery: number;
}

/** Holds the result of one attempted change. */
export interface WriteAttempt {
    /** Name of the changed caller. */
    readonly name: string;
    /** Written value; tells the changes of one caller apart. */
    readonly weight: number;
    /** HTTP status of the answer. */
    readonly status: number;
    /** Error code of a refused change. */
    readonly code: string | undefined;
    /** Version of the accepted change; 0 if it was refused. */
    readonly resourceVersion: number;
    /** Duration of the request, in milliseconds. */
    readonly tookMs: number;
}

/** Holds the result of a race. */
export interface RaceResult {
    readonly attempts: readonly WriteAttempt[];
    /** Lines that one watcher received before and after the API that it watched was replaced. */
    readonly watchedLines: readonly WatchLine[];
    readonly tookMs: number;
}

const HEADERS = { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` };
/** Number of callers that several writers change. */
const SHARED_CALLERS = 4;
/** Time between two polls or watch attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 20;

/**
 * Runs concurrent writers against two APIs while replies are lost and one API is replaced.
 *
 * @param fleet - Fleet whose APIs and key-value service are used
 * @param options - Number of writers, changes and lost replies
 * @returns the result of each attempt and the lines that a watcher received
 *
 * @example
 * const { attempts } = await raceWriters(fleet, { writers: 20, changes: 2000, loseEvery: 20 });
 */
export async function raceWriters(fleet: Fleet, options: RaceOptions): Promise<RaceResult> {
    const apis = [await fleet.startApi(1), await fleet.startApi(2)];
    const urls = apis.map(api => api.url);
    for (let at = 0; at < SHARED_CALLERS; at += 1) {
        await writeCaller(urls[0] ?? "", "POST", `shared-${at}`, 1, undefined);
    }
    const startVersion = await readResourceVersion(urls[1] ?? "");
    const watch = startWatcher(urls, startVersion);
    const attempts: WriteAttempt[] = [];
    const startMs = performance.now();
    const changesPerWriter = Math.ceil(options.changes / options.writers);
    let attemptCount = 0;
    const replacement = replaceApi(fleet, apis[0], urls, () => attemptCount >= options.changes / 2);
    await Promise.all(Array.from({ length: options.writers }, async (unused, writer) => {
        for (let round = 0; round < changesPerWriter; round += 1) {
            attemptCount += 1;
            if (attemptCount % options.loseEvery === 0) {
                fleet.kv.setFaults({ loseReplies: 1 });
            }
            attempts.push(await attemptChange(urls[writer % 2] ?? "", writer, round));
        }
    }));
    const tookMs = performance.now() - startMs;
    await replacement;
    const lastVersion = await readResourceVersion(urls[1] ?? "");
    const watchedLines = await watch(lastVersion);
    return { attempts, watchedLines, tookMs };
}

async function attemptChange(url: string, writer: number, round: number): Promise<WriteAttempt> {
    if (round % 2 === 0) {
        return writeCaller(url, "POST", `own-${writer}-${round}`, round + 1, undefined);
    }
    const name = `shared-${(writer + round) % SHARED_CALLERS}`;
    const res = await send(url, `Caller/${name}`, { headers: HEADERS });
    const current = await res.json() as { metadata?: { resourceVersion?: number } };
    return writeCaller(url, "PATCH", name, 1 + writer + round / 1000, current.metadata?.resourceVersion);
}

async function writeCaller(
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
        await sleep(RETRY_INTERVAL_MS);
    }
    const next = await fleet.startApi(3);
    urls[0] = next.url;
    await api?.stop();
}

async function readResourceVersion(url: string): Promise<number> {
    const res = await fetch(`${url}/apis/v1/Caller?limit=1`, { headers: HEADERS });
    const body = await res.json() as { readonly metadata: { readonly resourceVersion: number } };
    return body.metadata.resourceVersion;
}

function startWatcher(urls: readonly string[], startVersion: number): (until: number) => Promise<readonly WatchLine[]> {
    const watchedLines: WatchLine[] = [];
    let after = startVersion;
    let until = Number.POSITIVE_INFINITY;
    const watchUntilDone = async (): Promise<void> => {
        while (after < until) {
            await readWatch(urls[0] ?? "", after, line => {
                if (line.type === "ERROR") {
                    throw new Error(line.message);
                }
                after = line.resourceVersion;
                if (line.type !== "BOOKMARK") {
                    watchedLines.push(line);
                }
                return after < until;
            });
            await sleep(RETRY_INTERVAL_MS);
        }
    };
    const watching = watchUntilDone();
    return async lastVersion => {
        until = lastVersion;
        await watching;
        return watchedLines;
    };
}

async function readWatch(url: string, after: number, handleLine: (line: WatchLine) => boolean): Promise<void> {
    const stop = new AbortController();
    try {
        const res = await fetch(`${url}/apis/v1/Caller?watch=true&resourceVersion=${after}`, {
            headers: HEADERS,
            signal: stop.signal,
        });
        if (res.status !== 200 || res.body === null) {
            return;
        }
        let partialLine = "";
        for await (const chunk of res.body.pipeThrough(new TextDecoderStream())) {
            const lines = (partialLine + chunk).split("\n");
            partialLine = lines.pop() ?? "";
            for (const line of lines) {
                if (!handleLine(JSON.parse(line) as WatchLine)) {
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
