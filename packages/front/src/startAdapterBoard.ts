import type { EngineEntry } from "@fulmarcleat/directory";
import type { AdapterPresence } from "@fulmarcleat/dispatch";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { waitMs } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId } from "@fulmarcleat/ids";
import { isNewEnough } from "@fulmarcleat/residency";
import type {
    AdapterLoadAsk,
    AdapterLoadReply,
    EngineUseReply,
    EngineUseTell,
    EngineWord,
    PeerAddress,
    PeerClient,
} from "@fulmarcleat/wire";
import type { EngineBoard } from "./createEngineBoard.js";
import type { Knowledge } from "./createKnowledge.js";
import type { WantMail } from "./createWantMail.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import type { Ownership } from "./startOwnership.js";

/** The adapter that a request needs. */
export interface WantedAdapter {
    readonly model: BaseModel;
    readonly adapter: AdapterName;
    /** Oldest version that will do; undefined for any. */
    readonly version: number | undefined;
}

/** How long a request can wait for an adapter. */
export interface AdapterWait {
    readonly waitMs: number;
    /** How long it can still be on time, in milliseconds; negative where it is late. */
    readonly dueInMs: number;
}

/** What a host knows of the adapters on engines. */
export interface AdapterBoard {
    /**
     * Asks owners for their word on engines that a request may go to, where none has come lately.
     * Returns whether anything was asked; engines whose owners are slow to answer stay as they were known.
     */
    refresh(engines: readonly EngineId[]): Promise<boolean>;
    /** Says whether an engine has an adapter, as far as known. */
    find(entry: EngineEntry, wanted: WantedAdapter | undefined): AdapterPresence;
    /** Requests under way on an engine, over all hosts, as its owner says. */
    countLoad(engine: EngineId): number | undefined;
    /** Prompt tokens that wait to be read on an engine, over all hosts, as its owner says. */
    countQueued(engine: EngineId): number | undefined;
    /** Asks the engine's owner to have an adapter there. */
    request(
        entry: EngineEntry,
        wanted: WantedAdapter,
        wait: AdapterWait,
        isMissing: boolean,
    ): Promise<AdapterLoadReply>;
    start(engine: EngineId, adapter: AdapterName | undefined): void;
    finish(engine: EngineId, adapter: AdapterName | undefined): void;
    answerLoad(ask: AdapterLoadAsk): Promise<AdapterLoadReply>;
    answerUse(tell: EngineUseTell): Promise<EngineUseReply>;
    stop(): void;
}

interface Told {
    readonly word: EngineWord;
    readonly atMs: number;
}

interface OwnUse {
    readonly inFlight: Map<AdapterName, number>;
    total: number;
    started: AdapterName[];
    isChanged: boolean;
    toldAtMs: number;
    isTelling: boolean;
}

/** Pace of the word to owners while requests come and go, in milliseconds. */
const TELL_MS = 90;
/** Pace of the word to owners while requests are under way and none comes or goes, in milliseconds. */
const IDLE_TELL_MS = 1000;
/** Age beyond which an owner is asked again before a choice, in milliseconds; above the pace of the word. */
const FRESH_MS = 1300;
/** Longest time that a choice waits for owners' words, in milliseconds; hosts are a few milliseconds apart. */
const REFRESH_WAIT_MS = 25;
/** How long an owner's word counts, in milliseconds. */
const WORD_VALID_MS = 4000;
/** Expected wait until an older version that requests run on can be replaced, in milliseconds. */
const REPLACE_WAIT_MS = 2000;
/** Longest time until a peer answers, in milliseconds; a load ask may wait at its owner besides. */
const ASK_TIMEOUT_MS = 450;
/** What a load takes longer where its owner can't be reached and may be gone, in milliseconds; near half its lease. */
const UNREACHED_OWNER_MS = 1000;
/** Expected time of a load that is asked for through the store, in milliseconds. */
const LOAD_BY_STORE_MS = 450;

/**
 * Keeps a host's knowledge of adapters on engines, and tells engines' owners what the host has under way.
 *
 * @param context - Clock, log and metrics
 * @param knowledge - Engines, live hosts and claims
 * @param ownership - Engines that this host owns
 * @param board - Requests under way
 * @param mail - Way to owners that can't be reached
 * @param readPeers - Gives the connections to peers, once there are any
 * @returns the knowledge
 *
 * @example
 * const adapters = startAdapterBoard(context, knowledge, ownership, board, mail, () => peers);
 */
export function startAdapterBoard(
    context: FrontContext,
    knowledge: Knowledge,
    ownership: Ownership,
    board: EngineBoard,
    mail: WantMail,
    readPeers: () => PeerClient | undefined,
): AdapterBoard {
    const { clock, deployment, hash, log, metrics } = context;
    const told = new Map<EngineId, Told>();
    const uses = new Map<EngineId, OwnUse>();
    let isStopped = false;

    const openUse = (engine: EngineId): OwnUse => {
        const present = uses.get(engine);
        if (present !== undefined) {
            return present;
        }
        const use = {
            inFlight: new Map(),
            total: 0,
            started: [],
            isChanged: false,
            toldAtMs: -Infinity,
            isTelling: false,
        };
        uses.set(engine, use);
        return use;
    };
    const findOwner = (engine: EngineId): PeerAddress | undefined => {
        if (ownership.isFenced(engine)) {
            return findRelay(engine);
        }
        const claim = knowledge.claims.get(engine);
        const member = claim === undefined || claim.isReleased ? undefined : knowledge.members.get(claim.host);
        return member === undefined ? undefined : toAddress(member);
    };
    /** A host that may know the owner better than this one does. */
    const findRelay = (engine: EngineId): PeerAddress | undefined => {
        const others = [...knowledge.members.values()].filter(member =>
            member.host !== deployment.host && !mail.isNeeded(member.host)
        );
        const first = rankByRendezvous(hash, engine, others.map(member => member.host))[0];
        const member = first === undefined ? undefined : knowledge.members.get(first);
        return member === undefined ? undefined : toAddress(member);
    };
    const takeWord = (engine: EngineId, word: EngineWord): void => {
        told.set(engine, { word, atMs: clock.nowMs() });
    };
    const answerUse = async (tell: EngineUseTell): Promise<EngineUseReply> => {
        const task = ownership.find(tell.engine);
        const owner = findOwner(tell.engine);
        if (task === undefined) {
            return tell.isRelayed || owner === undefined || owner.host === deployment.host
                ? { kind: "not_owner" }
                : await readPeers()?.ask(owner, "engineUse", { ...tell, isRelayed: true }, ASK_TIMEOUT_MS)
                    ?? { kind: "not_owner" };
        }
        const use = {
            atMs: clock.nowMs(),
            inFlight: new Map(tell.inFlight),
            total: tell.total,
            queuedTokens: tell.queuedTokens,
        };
        return { kind: "word", ...task.use(tell.host, use, tell.started) };
    };
    const tellOwner = async (engine: EngineId, use: OwnUse): Promise<void> => {
        const tell = {
            host: deployment.host,
            isRelayed: false,
            engine,
            inFlight: [...use.inFlight],
            total: use.total,
            queuedTokens: board.countQueued(engine),
            started: use.started,
        };
        use.started = [];
        use.isChanged = false;
        use.toldAtMs = clock.nowMs();
        if (ownership.find(engine) !== undefined) {
            const reply = await answerUse(tell);
            if (reply.kind === "word") {
                takeWord(engine, reply);
            }
            return;
        }
        const owner = findOwner(engine);
        const peers = readPeers();
        if (owner === undefined || peers === undefined || owner.host === deployment.host) {
            return;
        }
        use.isTelling = true;
        try {
            const reply = await peers.ask(owner, "engineUse", tell, ASK_TIMEOUT_MS);
            if (reply.kind === "word") {
                takeWord(engine, reply);
            }
        }
        catch (err) {
            metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
            mail.noteUnreachable(owner.host);
        }
        finally {
            use.isTelling = false;
        }
    };
    const tick = (): void => {
        if (isStopped) {
            return;
        }
        const atMs = clock.nowMs();
        for (const { entry } of knowledge.engines.values()) {
            if (knowledge.config?.services.get(entry.service)?.engine === undefined) {
                continue;
            }
            const use = uses.get(entry.id);
            if (use === undefined || use.isTelling) {
                continue;
            }
            if (use.isChanged || use.total > 0 && atMs - use.toldAtMs >= IDLE_TELL_MS) {
                void tellOwner(entry.id, use);
            }
        }
        clock.setTimer(TELL_MS, tick);
    };
    tick();
    knowledge.onWants(asks =>
        asks.filter(ask => ownership.find(ask.engine) !== undefined).forEach(ask => void answerLoad(ask))
    );
    knowledge.onEngineGone(entry => {
        told.delete(entry.id);
        uses.delete(entry.id);
        board.forget(entry.id);
    });
    const change = (engine: EngineId, adapter: AdapterName | undefined, by: 1 | -1): void => {
        const use = openUse(engine);
        use.total += by;
        use.isChanged = true;
        if (adapter !== undefined) {
            const count = (use.inFlight.get(adapter) ?? 0) + by;
            if (count <= 0) {
                use.inFlight.delete(adapter);
            }
            else {
                use.inFlight.set(adapter, count);
            }
            if (by === 1) {
                use.started.push(adapter);
            }
        }
    };
    const findWord = (engine: EngineId): EngineWord | undefined => {
        const known = told.get(engine);
        return known === undefined || clock.nowMs() - known.atMs > WORD_VALID_MS ? undefined : known.word;
    };
    const answerLoad = async (ask: AdapterLoadAsk): Promise<AdapterLoadReply> => {
        const task = ownership.find(ask.engine);
        if (task === undefined) {
            return ask.isRelayed
                ? { kind: "refused", reason: "not_owner" }
                : askOwner(readPeers(), findOwner(ask.engine), { ...ask, isRelayed: true }, mail, context);
        }
        const sinceMs = clock.nowMs();
        const want = { version: ask.version, dueMs: sinceMs + ask.dueInMs, sinceMs, untilMs: sinceMs + ask.waitMs };
        return task.want(ask.adapter, want, ask.isMissing);
    };
    const isStale = (engine: EngineId, atMs: number): boolean => {
        if (atMs - (told.get(engine)?.atMs ?? -Infinity) <= FRESH_MS) {
            return false;
        }
        const owner = findOwner(engine);
        return owner !== undefined && !mail.isNeeded(owner.host);
    };
    return {
        async refresh(engines) {
            const atMs = clock.nowMs();
            const stale: Promise<void>[] = [];
            for (const engine of engines) {
                const use = openUse(engine);
                if (!use.isTelling && isStale(engine, atMs)) {
                    stale.push(tellOwner(engine, use));
                }
            }
            if (stale.length === 0) {
                return false;
            }
            await Promise.race([Promise.all(stale), waitMs(clock, REFRESH_WAIT_MS)]);
            return true;
        },
        find(entry, wanted) {
            if (wanted === undefined) {
                return entry.models.length > 0
                    ? { kind: "present" }
                    : { kind: "absent", placeWaitMs: 0, canLoad: true };
            }
            const known = told.get(entry.id);
            const atMs = clock.nowMs();
            const isOwn = ownership.find(entry.id) !== undefined;
            const owner = isOwn ? undefined : findOwner(entry.id);
            const canLoad = isOwn || owner !== undefined;
            const ownerWaitMs = owner !== undefined && mail.isNeeded(owner.host) ? UNREACHED_OWNER_MS : 0;
            if (known === undefined || atMs - known.atMs > WORD_VALID_MS) {
                return findInEntry(entry, wanted, { canLoad, placeWaitMs: ownerWaitMs });
            }
            const held = known.word.adapters.find(told => told.adapter === wanted.adapter);
            if (held === undefined) {
                return { kind: "absent", placeWaitMs: known.word.placeWaitMs + ownerWaitMs, canLoad };
            }
            if (!isNewEnough(held.version, wanted.version)) {
                return { kind: "absent", placeWaitMs: held.isUsed ? REPLACE_WAIT_MS : 0, canLoad };
            }
            const readyInMs = held.readyInMs - (atMs - known.atMs);
            return held.readyInMs === 0 || readyInMs <= 0 ? { kind: "present" } : { kind: "coming", readyInMs };
        },
        countLoad: engine => findWord(engine)?.load,
        countQueued: engine => findWord(engine)?.queuedTokens,
        async request(entry, wanted, { waitMs, dueInMs }, isMissing) {
            const { adapter, model, version } = wanted;
            const ask = { engine: entry.id, model, adapter, version, dueInMs, waitMs, isMissing, isRelayed: false };
            log.write("info", 310, { engine: entry.id, adapter, version, waitMs: Math.round(waitMs), isMissing });
            const reply = ownership.find(entry.id) === undefined
                ? await askOwner(readPeers(), findOwner(entry.id), ask, mail, context)
                : await answerLoad(ask);
            if (reply.kind === "ready") {
                noteComing(told, entry.id, wanted, reply.inMs, clock.nowMs());
            }
            return reply;
        },
        start: (engine, adapter) => change(engine, adapter, 1),
        finish: (engine, adapter) => change(engine, adapter, -1),
        answerLoad,
        answerUse,
        stop: () => void (isStopped = true),
    };
}

function toAddress({ host, ip, port }: Member): PeerAddress {
    return { host, address: ip, port };
}

const INTERNAL = { code: "internal", step: "tell owner", peer: "self", outcome: "not_run" } as const;

async function askOwner(
    peers: PeerClient | undefined,
    owner: PeerAddress | undefined,
    ask: AdapterLoadAsk,
    mail: WantMail,
    { log, metrics }: FrontContext,
): Promise<AdapterLoadReply> {
    if (peers === undefined || owner === undefined) {
        return { kind: "refused", reason: "not_owner" };
    }
    if (mail.isNeeded(owner.host)) {
        mail.post(ask);
        return { kind: "ready", inMs: LOAD_BY_STORE_MS };
    }
    try {
        return await peers.ask(owner, "adapterLoad", ask, ask.waitMs + ASK_TIMEOUT_MS);
    }
    catch (err) {
        const { step, message } = toServeError(err, INTERNAL);
        metrics.count("peer_failures_total", { step });
        log.write("warn", 304, { engine: ask.engine, adapter: ask.adapter, peer: owner.host, reason: message });
        mail.noteUnreachable(owner.host);
        mail.post(ask);
        return { kind: "ready", inMs: LOAD_BY_STORE_MS };
    }
}

function findInEntry(
    entry: EngineEntry,
    wanted: WantedAdapter,
    absent: { readonly placeWaitMs: number; readonly canLoad: boolean },
): AdapterPresence {
    const held = entry.models.find(model => model.model === wanted.model)?.adapters
        .find(adapter => adapter.adapter === wanted.adapter);
    return held !== undefined && isNewEnough(held.version, wanted.version)
        ? { kind: "present" }
        : { kind: "absent", ...absent };
}

/** Lets the next request for the adapter find it on its way, before the owner's next word. */
function noteComing(
    told: Map<EngineId, Told>,
    engine: EngineId,
    { adapter, version }: WantedAdapter,
    readyInMs: number,
    atMs: number,
): void {
    const known = told.get(engine);
    if (known !== undefined) {
        const age = atMs - known.atMs;
        const others = known.word.adapters.filter(held => held.adapter !== adapter);
        const adapters = [...others, {
            adapter,
            version,
            readyInMs: readyInMs === 0 ? 0 : readyInMs + age,
            isUsed: true,
        }];
        told.set(engine, { word: { ...known.word, adapters }, atMs: known.atMs });
    }
}
