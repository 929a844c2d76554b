import type { EngineEntry, EngineProbe, EngineTarget } from "@fulmarcleat/directory";
import { createCrashEvidence } from "@fulmarcleat/dispatch";
import type { Suspects } from "@fulmarcleat/dispatch";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { sleep } from "@fulmarcleat/ids";
import type { EngineId, HostId, Suspect } from "@fulmarcleat/ids";
import type {
    CrashReply,
    CrashReport,
    PeerClient,
    PromptAnsweredReply,
    PromptAnsweredRequest,
    QuarantineNotice,
} from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { EnginePaths } from "./enginePaths.js";
import { formatEngineRun } from "./formatEngineRun.js";
import type { FrontContext } from "./frontContext.js";
import { formatQuarantineKey } from "./hostKeys.js";
import type { Member } from "./hostKeys.js";
import { sendToPeer } from "./sendToPeer.js";

/** Keeps requests that crash engines (poison requests), by a part of their prompts or by themselves, from engines. */
export interface Quarantine {
    /** Returns the suspect for which a request must not be sent to an engine; undefined if there is none. */
    find(suspects: Suspects): Suspect | undefined;
    /** As `find`, just before a send; a request that is let through as a probe keeps others from being one. */
    findAtSend(suspects: Suspects): Suspect | undefined;
    /** Records that a request was answered, or was being answered for a while. */
    recordAnswer(suspects: Suspects): void;
    /** Records that a request's connection broke while its answer was beginning. */
    recordBreak(entry: EngineEntry, suspects: Suspects): void;
    /** Handles another host's report of a crash. */
    handleCrash(report: CrashReport): CrashReply;
    /** Tells another host when requests with a suspect were last answered here. */
    handleQuestion(question: PromptAnsweredRequest): PromptAnsweredReply;
    /** Handles another host's finding. */
    handleNotice(notice: QuarantineNotice): void;
}

/** Requests that broke at one engine and are not reported yet. */
interface PendingCrash {
    /** Clock reading when the first of them broke, in milliseconds. */
    readonly brokeAtMs: number;
    readonly requests: Suspects[];
}

/** Number of hosts that crashes are reported to; each of them finds the cause by itself. */
const JUDGES = 8;
/** Key by which all hosts rank those that judge. */
const JUDGES_KEY = "engine crashes";
/** Time for reports of one crash to arrive before it is judged, in milliseconds. */
const GATHER_MS = 120;
/** Most calls by which a host finds out whether an engine has crashed. */
const MAX_PROBES = 3;
/** Delay between two of these calls, in milliseconds. */
const PROBE_DELAY_MS = 50;
/**
 * Time after a break from which on bytes that other hosts get show that the engine has not crashed, in milliseconds;
 * hosts see the same crash at different times, and process the last bytes before it late while they are busy.
 */
const BREAK_MARGIN_MS = 50;
/** Time after a break at which other hosts are asked for such bytes, in milliseconds; a stream has some by then. */
const ASK_AFTER_MS = 150;
/** Longest wait for what other hosts reply, in milliseconds; a crash is reported without it. */
const MAX_ASK_MS = 200;
/** Delay of each judge behind the one ranked before it when it writes a finding to the store, in milliseconds. */
const WRITE_DELAY_PER_RANK_MS = 60;
/** Delay after a finding could not be written to the store, in milliseconds. */
const WRITE_RETRY_MS = 1000;
/** Time after which one quarantined request is let through to see whether it still crashes engines, in milliseconds. */
const PROBE_AFTER_MS = 300_000;
/** Time between two such requests, in milliseconds. */
const PROBE_INTERVAL_MS = 10_000;
/** Time after which a quarantine ends if no such request comes, in milliseconds; the store's longest lease. */
const QUARANTINE_TTL_MS = 600_000;

/**
 * Creates the quarantine of prompt parts and requests. Hosts report crashes to a few judges; a judge that finds the cause writes it
 * to the store, from which all hosts learn it, or tells the hosts itself while the store is away.
 *
 * @param context - Clock, hash, store, engines' control interface, metrics and log
 * @param clusterView - Live hosts, and quarantines in the store
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param paths - Asks other hosts whether they reach an engine that seems to have crashed
 * @returns the quarantine, empty
 *
 * @example
 * const quarantine = createQuarantine(context, clusterView, () => peers, paths);
 */
export function createQuarantine(
    context: Pick<FrontContext, "clock" | "control" | "deployment" | "hash" | "log" | "metrics" | "store">,
    clusterView: Pick<ClusterView, "members" | "onQuarantine" | "onQuarantineLost" | "quarantined">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    paths: Pick<EnginePaths, "isReachedByOthers">,
): Quarantine {
    const { clock, control, deployment, hash, log, metrics, store } = context;
    const peerContext = { metrics, readPeers };
    const evidence = createCrashEvidence();
    /** Findings that the store doesn't hold yet, with the clock reading at which they were made. */
    const unstored = new Map<Suspect, number>();
    const probedMs = new Map<Suspect, number>();
    const pendingCrashes = new Map<string, PendingCrash>();
    const pendingJudgements = new Set<string>();

    const listJudges = (): readonly HostId[] => {
        const hosts = [...clusterView.members.values()].filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
        return rankByRendezvous(hash, JUDGES_KEY, hosts).slice(0, JUDGES);
    };
    /** Returns the clock reading since which a suspect is quarantined; undefined if it isn't. */
    const readSinceMs = (suspect: Suspect): number | undefined => {
        const stored = clusterView.quarantined.get(suspect)?.sinceMs;
        const foundMs = unstored.get(suspect);
        if (foundMs !== undefined && clock.nowMs() - foundMs >= QUARANTINE_TTL_MS) {
            unstored.delete(suspect);
            evidence.clear(suspect);
            return stored;
        }
        return stored ?? foundMs;
    };
    /** Whether this host may send a request with a quarantined suspect, to see whether it still crashes engines. */
    const mayProbe = (suspect: Suspect, sinceMs: number): boolean => {
        const nowMs = clock.nowMs();
        return nowMs - sinceMs >= PROBE_AFTER_MS
            && nowMs - (probedMs.get(suspect) ?? -Infinity) >= PROBE_INTERVAL_MS
            && rankByRendezvous(hash, suspect, [...clusterView.members.keys()])[0] === deployment.host;
    };
    const listQuarantined = (suspects: Suspects): readonly Suspect[] =>
        clusterView.quarantined.size + unstored.size === 0
            ? []
            : suspects.filter(suspect => readSinceMs(suspect) !== undefined);
    const find = (suspects: Suspects): Suspect | undefined =>
        listQuarantined(suspects).find(suspect => !mayProbe(suspect, readSinceMs(suspect) ?? 0));
    const accept = (suspect: Suspect, source: "crashes" | "peer" | "store"): void => {
        if (source !== "store" && readSinceMs(suspect) === undefined) {
            unstored.set(suspect, clock.nowMs());
        }
        evidence.accept(suspect);
        metrics.count("quarantines_total", { source });
        log.write("warn", 408, { part: suspect, source });
    };
    const release = async (suspect: Suspect, reason: string): Promise<void> => {
        evidence.clear(suspect);
        unstored.delete(suspect);
        probedMs.delete(suspect);
        metrics.count("quarantine_ends_total", { reason });
        log.write("info", 409, { part: suspect, reason });
        const stored = clusterView.quarantined.get(suspect);
        if (stored !== undefined) {
            const key = formatQuarantineKey(suspect);
            await store.change({ expect: [{ key, revision: stored.revision }], puts: [], removes: [key] })
                .catch(logFailure);
        }
    };
    const logFailure = (err: unknown): void =>
        log.write("warn", 602, { step: toServeError(err, INTERNAL).step, reason: String(err) });
    /** Writes a finding to the store under a lease of its own, so that it ends by itself. */
    const write = async (suspect: Suspect): Promise<void> => {
        const key = formatQuarantineKey(suspect);
        const revision = clusterView.quarantined.get(suspect)?.revision ?? 0;
        const lease = await store.openLease(QUARANTINE_TTL_MS);
        const puts = [{ key, value: Buffer.from(deployment.host), lease }];
        const reply = await store.change({ expect: [{ key, revision }], puts, removes: [] });
        if (reply.kind !== "written") {
            await store.endLease(lease);
        }
    };
    /** Tells every host of a finding, for the time when they can't learn it from the store. */
    const tellAll = (suspect: Suspect): void => {
        for (const member of clusterView.members.values()) {
            if (member.host !== deployment.host) {
                void sendToPeer(peerContext, member, "quarantine", { part: suspect });
            }
        }
    };
    /** Writes a finding to the store, unless a judge ranked before this one has done so. */
    const publish = async (suspect: Suspect): Promise<void> => {
        const rank = listJudges().indexOf(deployment.host);
        await sleep(clock, WRITE_DELAY_PER_RANK_MS * (rank < 0 ? JUDGES : rank));
        for (let attempt = 0; unstored.has(suspect); attempt += 1) {
            try {
                await write(suspect);
                return;
            }
            catch (err) {
                logFailure(err);
                if (attempt === 0) {
                    tellAll(suspect);
                }
                await sleep(clock, WRITE_RETRY_MS);
            }
        }
    };
    /** Starts a quarantine anew after a request that was let through crashed an engine again. */
    const renew = (suspect: Suspect): void => {
        const sinceMs = readSinceMs(suspect);
        if (sinceMs !== undefined && clock.nowMs() - sinceMs >= PROBE_AFTER_MS) {
            unstored.set(suspect, clock.nowMs());
            void publish(suspect);
        }
    };
    const listOtherJudges = (): readonly Member[] =>
        listJudges().filter(host => host !== deployment.host)
            .map(host => clusterView.members.get(host))
            .filter(member => member !== undefined);
    /** Asks the other judges when they answered requests with the suspect. */
    const collectAnswers = async (suspect: Suspect): Promise<void> => {
        const replies = listOtherJudges().map(async member => {
            const reply = await sendToPeer(peerContext, member, "promptAnswered", { part: suspect });
            if (reply?.answeredAgoMs !== undefined) {
                evidence.recordAnswer([suspect], clock.nowMs() - reply.answeredAgoMs);
            }
        });
        await Promise.all(replies);
    };
    /** Judges a crash; suspects are accepted only after the other judges were asked about them. */
    const judge = async (engine: string, asked: ReadonlySet<Suspect> = new Set()): Promise<void> => {
        const finding = evidence.judgeCrash(engine, clock.nowMs());
        switch (finding.kind) {
            case "unclear":
                return;
            case "explained":
                renew(finding.suspect);
                return;
            case "found": {
                const { suspects, explains } = finding;
                if (!suspects.every(suspect => asked.has(suspect))) {
                    await Promise.all(suspects.filter(suspect => !asked.has(suspect)).map(collectAnswers));
                    await judge(engine, new Set([...asked, ...suspects]));
                    return;
                }
                explains.forEach(suspect => void release(suspect, "explained"));
                for (const suspect of suspects.filter(other => readSinceMs(other) === undefined)) {
                    accept(suspect, "crashes");
                    void publish(suspect);
                }
                return;
            }
        }
    };
    const handleCrash = ({ engine, bornMs, prompts }: CrashReport): CrashReply => {
        const key = formatEngineRun(engine, bornMs);
        evidence.recordCrash(key, prompts, clock.nowMs());
        if (!pendingJudgements.has(key)) {
            pendingJudgements.add(key);
            clock.setTimer(GATHER_MS, () => {
                pendingJudgements.delete(key);
                void judge(key);
            });
        }
        return { quarantined: listQuarantined([...new Set(prompts.flat())]) };
    };
    const handleNotice = ({ part: suspect }: QuarantineNotice): void => {
        if (readSinceMs(suspect) === undefined && !evidence.wasAnswered(suspect, clock.nowMs())) {
            accept(suspect, "peer");
        }
    };
    const reportCrash = async (report: CrashReport): Promise<void> => {
        metrics.count("engine_crashes_total");
        log.write("warn", 410, {
            engine: report.engine,
            prompts: report.prompts.map(suspects => suspects.join(",")).join(" "),
        });
        handleCrash(report);
        await Promise.all(
            listOtherJudges().map(async member => {
                const reply = await sendToPeer(peerContext, member, "engineCrash", report);
                reply?.quarantined.forEach(suspect => handleNotice({ part: suspect }));
            }),
        );
    };
    /** Finds out whether an engine has crashed; one that still runs has only broken off some answers. */
    const probeEngine = async (target: EngineTarget): Promise<EngineProbe> => {
        let probe = await control.probe(target);
        for (let count = 1; count < MAX_PROBES && probe === "unclear"; count += 1) {
            await sleep(clock, PROBE_DELAY_MS);
            probe = await control.probe(target);
        }
        return probe;
    };
    /** Whether other hosts get bytes from an engine that has crashed as seen from here, so that only the path is lost. */
    const isPathLost = async (engine: EngineId, brokeAtMs: number): Promise<boolean> => {
        await sleep(clock, Math.max(0, brokeAtMs + ASK_AFTER_MS - clock.nowMs()));
        const reply = paths.isReachedByOthers(engine, brokeAtMs + BREAK_MARGIN_MS).catch((err: unknown) => {
            logFailure(err);
            return false;
        });
        return Promise.race([reply, sleep(clock, MAX_ASK_MS).then(() => false)]);
    };
    const findCause = async ({ id, address }: EngineEntry, brokeAtMs: number): Promise<EngineProbe | "path_lost"> => {
        const probe = await probeEngine({ id, address });
        return probe === "gone" && await isPathLost(id, brokeAtMs) ? "path_lost" : probe;
    };
    const confirmCrash = async (entry: EngineEntry, pending: PendingCrash): Promise<void> => {
        const { id, bornMs } = entry;
        const probe = await findCause(entry, pending.brokeAtMs);
        pendingCrashes.delete(formatEngineRun(id, bornMs));
        switch (probe) {
            case "gone":
                await reportCrash({ engine: id, bornMs, prompts: pending.requests });
                return;
            case "path_lost":
            case "running":
            case "unclear":
                metrics.count("engine_breaks_total", { probe });
                log.write("info", 413, { engine: id, probe });
                return;
        }
    };
    clusterView.onQuarantine((suspect, isSet) => {
        unstored.delete(suspect);
        if (!isSet) {
            evidence.clear(suspect);
            probedMs.delete(suspect);
            log.write("info", 409, { part: suspect, reason: "store" });
        }
        else if (evidence.wasAnswered(suspect, clock.nowMs())) {
            void release(suspect, "answered");
        }
        else {
            accept(suspect, "store");
        }
    });
    clusterView.onQuarantineLost(suspect => {
        unstored.set(suspect, clock.nowMs());
        void publish(suspect);
    });
    return {
        find,
        handleCrash,
        handleNotice,
        handleQuestion({ part: suspect }) {
            const answeredMs = evidence.readAnsweredMs(suspect);
            return { answeredAgoMs: answeredMs === undefined ? undefined : clock.nowMs() - answeredMs };
        },
        findAtSend(suspects) {
            const refused = find(suspects);
            if (refused === undefined) {
                listQuarantined(suspects).forEach(suspect => probedMs.set(suspect, clock.nowMs()));
            }
            return refused;
        },
        recordAnswer(suspects) {
            evidence.recordAnswer(suspects, clock.nowMs());
            listQuarantined(suspects).forEach(suspect => void release(suspect, "answered"));
        },
        recordBreak(entry, suspects) {
            const key = formatEngineRun(entry.id, entry.bornMs);
            const pending = pendingCrashes.get(key);
            if (pending !== undefined) {
                pending.requests.push(suspects);
                return;
            }
            const first = { brokeAtMs: clock.nowMs(), requests: [suspects] };
            pendingCrashes.set(key, first);
            void confirmCrash(entry, first);
        },
    };
}

const INTERNAL = { code: "internal", step: "exchange crash reports", peer: "self", outcome: "unknown" } as const;
