import type { EngineEntry, EngineNotice, KnownEngine } from "@fulmarcleat/directory";
import { createReturnTimes, findEngineClosure, OPEN_STANDING, reduceEngineStanding } from "@fulmarcleat/dispatch";
import type { EngineClosure, EngineStanding, ReturnTimes, StandingMessage } from "@fulmarcleat/dispatch";
import type { EngineId, ServiceName } from "@fulmarcleat/ids";
import type { ClusterView } from "./createClusterView.js";
import { formatEngineRun } from "./formatEngineRun.js";
import type { FrontContext } from "./frontContext.js";

/** Why an engine may get no work from this host: what it has said itself, or what the store lists. */
export type WorkClosure = EngineClosure | { readonly kind: "unusable" };

/** Says which engines may get work from this host. */
export interface EngineClosures {
    /** Lists the engines that may get work now, of one service or of all. */
    listOpen(service?: ServiceName): readonly KnownEngine[];
    /** Why the engine of an id may get no work; undefined if it may, or isn't known. */
    find(engine: EngineId): WorkClosure | undefined;
    /**
     * Books the return of a client while none of the engines that it may go to is open, but some only pause. Returns
     * the time until then, in milliseconds; undefined if none of them pauses.
     */
    bookReturn(service: ServiceName, priority: number, isAllowed: (entry: EngineEntry) => boolean): number | undefined;
    /** Records what an engine's answer says of further work. */
    recordNotice(entry: EngineEntry, notice: EngineNotice): void;
    /** Records what an answer says that names its engine by its id only. */
    recordNoticeOf(engine: EngineId, notice: EngineNotice): void;
    /** Records that a request was sent. */
    recordSend(entry: EngineEntry): void;
    /** Records that an engine took a request that was sent at `sentMs`, or that it ended without such an answer. */
    recordEnd(entry: EngineEntry, sentMs: number, end: "accepted" | "failed"): void;
}

/** What one run of an engine has said. */
interface StandingRecord {
    readonly entry: EngineEntry;
    standing: EngineStanding;
    /** Clock reading of the last notice, in milliseconds. */
    noticedMs: number;
}

/** Time for which the word of an engine that is not listed is kept, in milliseconds; its entry may return. */
const UNLISTED_MEMORY_MS = 600_000;
/** Most characters of a text from an engine that are logged. */
const MAX_LOGGED_TEXT = 80;
/** Expected time until an engine that has come back from a pause takes another request, in milliseconds. */
const RECOVERING_RETRY_MS = 150;

/**
 * Creates the one place that says which engines may get work from this host: none that leave, as the store or they
 * themselves say, or whose address belongs to another engine, and none in a pause that they have asked for. What an
 * engine says holds for its run and this host only.
 *
 * @param context - Clock, log and metrics
 * @param clusterView - Engines as the store lists them
 * @returns the closures, with no engine having said anything
 *
 * @example
 * const closures = createEngineClosures(context, clusterView);
 * const engines = closures.listOpen(service.name);
 */
export function createEngineClosures(
    { clock, log, metrics }: Pick<FrontContext, "clock" | "log" | "metrics">,
    clusterView: Pick<ClusterView, "engines">,
): EngineClosures {
    const records = new Map<string, StandingRecord>();
    const returnTimes = new Map<ServiceName, ReturnTimes>();

    const readStanding = ({ id, bornMs }: EngineEntry): EngineStanding =>
        (records.size === 0 ? undefined : records.get(formatEngineRun(id, bornMs)))?.standing ?? OPEN_STANDING;
    const isKept = (record: StandingRecord, atMs: number): boolean => {
        const known = clusterView.engines.get(record.entry.id);
        return known === undefined
            ? atMs - record.noticedMs < UNLISTED_MEMORY_MS
            : known.entry.bornMs === record.entry.bornMs;
    };
    const prune = (atMs: number): void => {
        for (const [key, record] of records) {
            if (!isKept(record, atMs)) {
                records.delete(key);
            }
        }
    };
    const update = (entry: EngineEntry, message: StandingMessage): void => {
        const record = records.get(formatEngineRun(entry.id, entry.bornMs));
        if (record !== undefined) {
            record.standing = reduceEngineStanding(record.standing, message);
        }
    };
    const logNotice = (
        { id }: EngineEntry,
        before: EngineStanding,
        after: EngineStanding,
        notice: EngineNotice,
    ): void => {
        const atMs = clock.nowMs();
        if (after.isLeaving && !before.isLeaving) {
            metrics.count("engine_notices_total", { notice: "leaving" });
            log.write("info", 216, { engine: id });
        }
        if (after.pausedUntilMs > before.pausedUntilMs) {
            metrics.count("engine_notices_total", { notice: "pause" });
            log.write("info", 217, { engine: id, forMs: Math.round(after.pausedUntilMs - atMs) });
        }
        if (notice.pause?.kind === "unreadable") {
            metrics.count("engine_notices_total", { notice: "unreadable" });
            log.write("warn", 218, { engine: id, text: notice.pause.text.slice(0, MAX_LOGGED_TEXT) });
        }
    };
    const findClosure = ({ entry, isUsable }: KnownEngine): WorkClosure | undefined =>
        isUsable ? findEngineClosure(readStanding(entry), clock.nowMs()) : { kind: "unusable" };
    const list = (service: ServiceName | undefined): readonly KnownEngine[] =>
        [...clusterView.engines.values()].filter(({ entry }) => service === undefined || entry.service === service);
    /** Returns the clock reading at which an engine takes requests again, in milliseconds; undefined if it won't. */
    const readOpensAtMs = (known: KnownEngine): number | undefined => {
        const closure = findClosure(known);
        switch (closure?.kind) {
            case "paused":
                return closure.untilMs;
            case "recovering":
                return clock.nowMs() + RECOVERING_RETRY_MS;
            case undefined:
                return clock.nowMs();
            case "leaving":
            case "unusable":
                return undefined;
        }
    };
    const recordNotice = (entry: EngineEntry, notice: EngineNotice): void => {
        const atMs = clock.nowMs();
        const before = readStanding(entry);
        const standing = reduceEngineStanding(before, { kind: "noticed", notice, atMs });
        prune(atMs);
        records.set(formatEngineRun(entry.id, entry.bornMs), { entry, standing, noticedMs: atMs });
        logNotice(entry, before, standing, notice);
    };
    return {
        listOpen: service => list(service).filter(known => findClosure(known) === undefined),
        find(engine) {
            const known = clusterView.engines.get(engine);
            return known && findClosure(known);
        },
        bookReturn(service, priority, isAllowed) {
            const opensMs = list(service).filter(({ entry }) => isAllowed(entry)).map(readOpensAtMs)
                .filter(atMs => atMs !== undefined);
            if (opensMs.length === 0) {
                return undefined;
            }
            const times = returnTimes.get(service) ?? createReturnTimes();
            returnTimes.set(service, times);
            return times.book({ priority, opensAtMs: Math.min(...opensMs), atMs: clock.nowMs() });
        },
        recordNotice,
        recordNoticeOf(engine, notice) {
            const known = clusterView.engines.get(engine);
            if (known !== undefined) {
                recordNotice(known.entry, notice);
            }
        },
        recordSend: entry => update(entry, { kind: "sent" }),
        recordEnd: (entry, sentMs, end) => update(entry, { kind: end, sentMs }),
    };
}
