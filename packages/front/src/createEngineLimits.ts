import type { EngineAnswerHead, EngineEntry } from "@fulmarcleat/directory";
import { createRateGrants, findCheapest, mergeLimit } from "@fulmarcleat/dispatch";
import type { HeardLimit, RateGrants } from "@fulmarcleat/dispatch";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import type {
    LimitNotice,
    LimitNoticeReply,
    LimitStatement,
    PeerClient,
    ReplyOf,
    RequestOf,
    SendGrantReply,
    SendGrantRequest,
} from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import { formatEngineRun } from "./formatEngineRun.js";
import type { FrontContext } from "./frontContext.js";
import { sendToPeer } from "./sendToPeer.js";

/** Whether a request may be sent to an engine now. */
export type SendPermit =
    /** The engine names no limit, as far as this host knows. */
    | { readonly kind: "unlimited" }
    /** `askedMs` is the clock reading when the request for it was sent, in milliseconds. */
    | { readonly kind: "granted"; readonly askedMs: number }
    /** `readyInMs` is the expected time until a request may be sent, in milliseconds. */
    | { readonly kind: "refused"; readonly readyInMs: number };

/** Keeps what all hosts together send to an engine within the limit that it names. */
export interface EngineLimits {
    /** Whether an engine names a limit, as far as this host knows. */
    isLimited(entry: EngineEntry): boolean;
    /** Time for which this host sends no request of a priority to an engine, in milliseconds; 0 if it may ask to. */
    readHoldMs(entry: EngineEntry, priority: number): number;
    /**
     * Returns the time after which a client may return whom these engines have no room for, in milliseconds; clients are
     * told times that spread them over the engines' limits.
     */
    bookReturn(entries: readonly EngineEntry[]): number;
    /** Asks for the right to send one request; returns the permit that the request holds if that is still valid. */
    acquire(entry: EngineEntry, priority: number, held?: SendPermit): Promise<SendPermit>;
    /** Records that a request was sent. */
    recordSend(entry: EngineEntry, permit: SendPermit): void;
    /** Records what the answer to a request that was sent at `sentMs` says of its engine's limit. */
    recordAnswer(entry: EngineEntry, head: EngineAnswerHead, sentMs: number): void;
    /** Handles another host's request for a grant. */
    handleRequest(request: SendGrantRequest, from: HostId): SendGrantReply;
    /** Handles what another host heard of a limit. */
    handleNotice(notice: LimitNotice, from: HostId): LimitNoticeReply;
}

/** A host's failures to reply since its last reply. */
interface Failures {
    /** Number of failures that are UNREACHABLE_MS or more apart. */
    readonly count: number;
    /** Clock reading of the last counted one, in milliseconds. */
    readonly atMs: number;
}

/** A granter's refusal. */
interface Hold {
    /** Clock reading until which no further request of its priority or a lower one asks, in milliseconds. */
    readonly untilMs: number;
    readonly priority: number;
    /** Clock reading at which the next refused client may return, in milliseconds. */
    readyAtMs: number;
}

/** What is known of one run of an engine. */
interface EngineRecord {
    readonly engine: EngineId;
    readonly bornMs: number | undefined;
    limit: HeardLimit | undefined;
    /** Grants that this host gives if it is the granter or its substitute; undefined until a limit is known. */
    grants: RateGrants | undefined;
    /** Clock readings of this host's sends without a grant, in milliseconds. */
    sendsMs: number[];
    hold: Hold | undefined;
}

/** Time for which sends without a grant count once the engine names a limit, in milliseconds. */
const SENDS_MEMORY_MS = 4000;
/** Time after its request was sent for which a grant may be used, in milliseconds; its holder may wait for an adapter. */
const PERMIT_VALID_MS = 500;
/** Hosts that grant requests to an engine: the granter, and its substitute while the granter does not reply. */
const GRANTERS = 2;
/** Time for which a host that did not reply is not asked, in milliseconds. */
const UNREACHABLE_MS = 2000;
/** Failures to reply after which a host no longer counts as a granter; the store lists it until its lease ends. */
const GONE_AFTER_FAILURES = 5;
/** Time after which such a host is asked again, in milliseconds. */
const GONE_RETRY_MS = 10_000;
/** Most times that a host is told that an engine names a limit, if it does not reply. */
const MAX_TELLS = 5;
/** Expected time until a granter can be reached, in milliseconds. */
const NO_GRANTER_MS = 400;
/** Bounds of the time for which a refusal stands for further requests, in milliseconds. */
const HOLD_MS = { least: 20, most: 500 } as const;
/** Added per host to the longest time of a refusal, in milliseconds, so that large fleets ask a granter less often. */
const HOLD_PER_HOST_MS = 10;
/** Longest time after which a refused client is told to return, in milliseconds. */
const MAX_RETURN_MS = 4000;
/** Rate at which clients are told to return at an engine that names a lower one, in requests a second. */
const MIN_PER_S = 0.1;
/** Milliseconds in a second. */
const MS_PER_S = 1000;
/** Most runs of engines that are remembered; the oldest is dropped first. */
const MAX_RECORDS = 20_000;

/**
 * Creates the limits of engines. For each engine that names one, a granter that all hosts rank alike grants the requests
 * of all hosts; the host ranked next takes its place at half the rate.
 *
 * @param context - Clock, hash, metrics and log
 * @param clusterView - Live hosts, and engines that are removed
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the limits, none known
 *
 * @example
 * const limits = createEngineLimits(context, clusterView, () => peers);
 */
export function createEngineLimits(
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "log" | "metrics">,
    clusterView: Pick<ClusterView, "members" | "onEngineRemoved">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): EngineLimits {
    const { clock, deployment, hash, log, metrics } = context;
    const peerContext = { metrics, readPeers };
    const records = new Map<string, EngineRecord>();
    const failures = new Map<HostId, Failures>();

    const getRecord = (engine: EngineId, bornMs: number | undefined): EngineRecord => {
        const key = formatEngineRun(engine, bornMs);
        const existing = records.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const record: EngineRecord = {
            engine,
            bornMs,
            limit: undefined,
            grants: undefined,
            sendsMs: [],
            hold: undefined,
        };
        records.set(key, record);
        const oldest = records.keys().next();
        if (records.size > MAX_RECORDS && oldest.done !== true) {
            records.delete(oldest.value);
        }
        return record;
    };
    clusterView.onEngineRemoved(({ id }) =>
        [...records].filter(([, { engine }]) => engine === id).forEach(([key]) => records.delete(key))
    );
    const isReachable = (host: HostId): boolean =>
        clock.nowMs() - (failures.get(host)?.atMs ?? -Infinity) >= UNREACHABLE_MS;
    const recordFailure = (host: HostId): void => {
        if (isReachable(host)) {
            failures.set(host, { count: (failures.get(host)?.count ?? 0) + 1, atMs: clock.nowMs() });
        }
    };
    const isGone = (host: HostId): boolean => {
        const failed = failures.get(host);
        return failed !== undefined && failed.count >= GONE_AFTER_FAILURES
            && clock.nowMs() - failed.atMs < GONE_RETRY_MS;
    };
    /** Lists the granter of an engine and its substitute. */
    const listGranters = (engine: EngineId): readonly HostId[] => {
        const hosts = [...clusterView.members.values()]
            .filter(({ host, isLeaving }) => !isLeaving && !isGone(host))
            .map(({ host }) => host);
        return hosts.length === 0 ? [deployment.host] : rankByRendezvous(hash, engine, hosts).slice(0, GRANTERS);
    };
    const listSendsAgoMs = (record: EngineRecord): readonly number[] => {
        const nowMs = clock.nowMs();
        record.sendsMs = record.sendsMs.filter(sentMs => nowMs - sentMs < SENDS_MEMORY_MS);
        return record.sendsMs.map(sentMs => nowMs - sentMs);
    };
    const toStatement = ({ perSecond, sentMs, heardMs }: HeardLimit): LimitStatement => {
        const nowMs = clock.nowMs();
        return { perSecond, sentAgoMs: nowMs - sentMs, heardAgoMs: nowMs - heardMs };
    };
    const createNotice = (record: EngineRecord, limit: HeardLimit): LimitNotice => ({
        engine: record.engine,
        bornMs: record.bornMs,
        limit: toStatement(limit),
        sendsAgoMs: listSendsAgoMs(record),
    });
    const recordSends = (record: EngineRecord, host: HostId, sendsAgoMs: readonly number[]): void => {
        const nowMs = clock.nowMs();
        record.grants?.setSends(host, sendsAgoMs.map(agoMs => nowMs - agoMs));
    };
    /** Merges what an engine said; returns the rate before if it has changed. */
    const learn = (
        record: EngineRecord,
        next: HeardLimit,
        source: string,
    ): { readonly former?: number } | undefined => {
        const former = record.limit?.perSecond;
        record.limit = mergeLimit(record.limit, next);
        const { perSecond } = record.limit;
        if (perSecond === former) {
            return undefined;
        }
        log.write("warn", 411, { engine: record.engine, perSecond, former, source });
        if (perSecond === undefined) {
            record.hold = undefined;
        }
        else if (record.grants === undefined) {
            record.grants = createRateGrants(perSecond, clock.nowMs());
        }
        else {
            record.grants.setRate(perSecond);
        }
        return former === undefined ? {} : { former };
    };
    /** Sends a request to another host and records whether it replies. */
    const send = async <Name extends "engineLimit" | "sendGrant">(
        host: HostId,
        name: Name,
        body: RequestOf<Name>,
    ): Promise<ReplyOf<Name> | undefined> => {
        const member = clusterView.members.get(host);
        const reply = member === undefined ? undefined : await sendToPeer(peerContext, member, name, body);
        if (reply === undefined) {
            recordFailure(host);
        }
        else {
            failures.delete(host);
        }
        return reply;
    };
    /** Tells a host of a limit, until it replies, and learns what that host has sent without a grant. */
    const tell = async (record: EngineRecord, limit: HeardLimit, host: HostId): Promise<void> => {
        for (let count = 0; count < MAX_TELLS; count += 1) {
            const reply = await send(host, "engineLimit", createNotice(record, limit));
            if (reply !== undefined) {
                recordSends(record, host, reply.sendsAgoMs);
                return;
            }
        }
    };
    /** As a granter of an engine that has begun to name a limit, tells the other hosts before they hear it. */
    const tellAll = (record: EngineRecord, limit: HeardLimit, except?: HostId): void => {
        [...clusterView.members.keys()]
            .filter(host => host !== deployment.host && host !== except)
            .forEach(host => void tell(record, limit, host));
    };
    /** Passes a change on to the engine's granters, or from a granter to all hosts. */
    const passOn = (record: EngineRecord, limit: HeardLimit): void => {
        const granters = listGranters(record.engine);
        if (granters.includes(deployment.host)) {
            tellAll(record, limit);
        }
        else {
            granters.forEach(granter => void tell(record, limit, granter));
        }
    };
    const learnFromPeer = ({ engine, bornMs, limit, sendsAgoMs }: LimitNotice, from: HostId): EngineRecord => {
        const record = getRecord(engine, bornMs);
        const nowMs = clock.nowMs();
        const heard = {
            perSecond: limit.perSecond,
            sentMs: nowMs - limit.sentAgoMs,
            heardMs: nowMs - limit.heardAgoMs,
        };
        const change = learn(record, heard, from);
        const isNew = change !== undefined && change.former === undefined;
        if (isNew && listGranters(engine).includes(deployment.host)) {
            tellAll(record, heard, from);
        }
        recordSends(record, from, sendsAgoMs);
        return record;
    };
    const handleRequest = (request: SendGrantRequest, from: HostId): SendGrantReply => {
        const record = learnFromPeer(request, from);
        const { limit, grants } = record;
        if (limit?.perSecond === undefined || grants === undefined) {
            return { kind: "unlimited", limit: limit === undefined ? request.limit : toStatement(limit) };
        }
        recordSends(record, deployment.host, listSendsAgoMs(record));
        const { priority, isSubstitute } = request;
        return grants.request({ priority, isSubstitute, atMs: clock.nowMs() });
    };
    const askGranter = (granter: HostId, request: SendGrantRequest): Promise<SendGrantReply | undefined> =>
        granter === deployment.host
            ? Promise.resolve(handleRequest(request, deployment.host))
            : send(granter, "sendGrant", request);
    const refuse = (record: EngineRecord, priority: number, readyInMs: number): SendPermit => {
        const mostMs = HOLD_MS.most + HOLD_PER_HOST_MS * clusterView.members.size;
        const holdMs = Math.min(mostMs, Math.max(HOLD_MS.least, readyInMs));
        const nowMs = clock.nowMs();
        record.hold = { untilMs: nowMs + holdMs, priority, readyAtMs: nowMs + readyInMs };
        return { kind: "refused", readyInMs: Math.max(holdMs, readyInMs) };
    };
    const applyReply = (
        record: EngineRecord,
        reply: SendGrantReply,
        priority: number,
        askedMs: number,
    ): SendPermit => {
        metrics.count("send_grants_total", { reply: reply.kind });
        switch (reply.kind) {
            case "granted":
                return { kind: "granted", askedMs };
            case "refused":
                return refuse(record, priority, reply.readyInMs);
            case "unlimited": {
                const nowMs = clock.nowMs();
                const { sentAgoMs, heardAgoMs } = reply.limit;
                learn(
                    record,
                    { perSecond: undefined, sentMs: nowMs - sentAgoMs, heardMs: nowMs - heardAgoMs },
                    "granter",
                );
                return { kind: "unlimited" };
            }
        }
    };
    const readHoldMs = (entry: EngineEntry, priority: number): number => {
        const hold = records.get(formatEngineRun(entry.id, entry.bornMs))?.hold;
        return hold === undefined || priority < hold.priority ? 0 : Math.max(0, hold.untilMs - clock.nowMs());
    };
    const bookReturn = (entries: readonly EngineEntry[]): number => {
        const held = entries.map(({ id, bornMs }) => records.get(formatEngineRun(id, bornMs)))
            .filter(record => record?.hold !== undefined);
        const next = findCheapest(held, record => record?.hold?.readyAtMs ?? Infinity);
        if (next?.hold === undefined) {
            return HOLD_MS.least;
        }
        const nowMs = clock.nowMs();
        const readyAtMs = Math.max(next.hold.readyAtMs, nowMs + HOLD_MS.least);
        const perSecond = Math.max(next.limit?.perSecond ?? MIN_PER_S, MIN_PER_S);
        next.hold.readyAtMs = Math.min(readyAtMs + MS_PER_S / perSecond, nowMs + MAX_RETURN_MS);
        return readyAtMs - nowMs;
    };
    return {
        bookReturn,
        isLimited: ({ id, bornMs }) => records.get(formatEngineRun(id, bornMs))?.limit?.perSecond !== undefined,
        readHoldMs,
        handleRequest,
        handleNotice(notice, from) {
            return { sendsAgoMs: listSendsAgoMs(learnFromPeer(notice, from)) };
        },
        async acquire(entry, priority, held) {
            const record = getRecord(entry.id, entry.bornMs);
            const { limit } = record;
            if (limit?.perSecond === undefined) {
                return { kind: "unlimited" };
            }
            if (held?.kind === "granted" && clock.nowMs() - held.askedMs < PERMIT_VALID_MS) {
                return held;
            }
            const holdMs = readHoldMs(entry, priority);
            if (holdMs > 0) {
                return { kind: "refused", readyInMs: holdMs };
            }
            const granters = listGranters(entry.id);
            for (const granter of granters.filter(isReachable)) {
                const isSubstitute = granter !== granters[0];
                const askedMs = clock.nowMs();
                const reply = await askGranter(granter, { ...createNotice(record, limit), priority, isSubstitute });
                if (reply !== undefined) {
                    return applyReply(record, reply, priority, askedMs);
                }
            }
            metrics.count("send_grants_total", { reply: "none" });
            return refuse(record, priority, NO_GRANTER_MS);
        },
        recordSend(entry, permit) {
            if (permit.kind === "unlimited") {
                const record = getRecord(entry.id, entry.bornMs);
                listSendsAgoMs(record);
                record.sendsMs.push(clock.nowMs());
            }
        },
        recordAnswer(entry, { instance, limit }, sentMs) {
            if (instance !== undefined && instance !== entry.id) {
                return;
            }
            const record = getRecord(entry.id, entry.bornMs);
            if (limit.kind === "unreadable") {
                log.write("warn", 412, { engine: entry.id, text: limit.text });
                return;
            }
            if (limit.kind === "none" && record.limit === undefined) {
                return;
            }
            const perSecond = limit.kind === "rate" ? limit.perSecond : undefined;
            const heard = { perSecond, sentMs, heardMs: clock.nowMs() };
            if (learn(record, heard, "answer") !== undefined) {
                passOn(record, heard);
            }
        },
    };
}
