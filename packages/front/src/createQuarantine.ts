import type { EngineEntry } from "@fulmarcleat/directory";
import { createCrashEvidence } from "@fulmarcleat/dispatch";
import type { SharedParts } from "@fulmarcleat/dispatch";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { sleep } from "@fulmarcleat/ids";
import type { HostId, PromptPart } from "@fulmarcleat/ids";
import type {
    CrashReply,
    CrashReport,
    PeerClient,
    PromptAnsweredReply,
    PromptAnsweredRequest,
    QuarantineNotice,
} from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import { formatEngineRun } from "./formatEngineRun.js";
import type { FrontContext } from "./frontContext.js";
import { formatQuarantineKey } from "./hostKeys.js";
import type { Member } from "./hostKeys.js";
import { sendToPeer } from "./sendToPeer.js";

/** Keeps requests whose prompts crash engines (poison requests) from engines, at all hosts. */
export interface Quarantine {
    /** Whether a request with these shared parts must not be sent to an engine. */
    refuses(parts: SharedParts): boolean;
    /** As `refuses`, just before a send; a request that is let through as a probe keeps others from being one. */
    refusesSend(parts: SharedParts): boolean;
    /** Records that a request was answered, or was being answered for a while. */
    recordAnswer(parts: SharedParts): void;
    /** Records that a request's connection broke while its answer was beginning. */
    recordBreak(entry: EngineEntry, parts: SharedParts): void;
    /** Handles another host's report of a crash. */
    handleCrash(report: CrashReport): CrashReply;
    /** Tells another host when requests with a part were last answered here. */
    handleQuestion(question: PromptAnsweredRequest): PromptAnsweredReply;
    /** Handles another host's finding. */
    handleNotice(notice: QuarantineNotice): void;
}

/** Requests that broke at one engine and are not reported yet. */
interface PendingCrash {
    /** Shared parts of their prompts. */
    readonly prompts: SharedParts[];
}

/** Number of hosts that crashes are reported to; each of them finds the cause by itself. */
const JUDGES = 8;
/** Key by which all hosts rank those that judge. */
const JUDGES_KEY = "engine crashes";
/** Time for reports of one crash to arrive before it is judged, in milliseconds. */
const GATHER_MS = 120;
/** Delay of each judge behind the one ranked before it when it writes a finding to the store, in milliseconds. */
const WRITE_DELAY_PER_RANK_MS = 60;
/** Delay after a finding could not be written to the store, in milliseconds. */
const WRITE_RETRY_MS = 1000;
/** Time after which one request with a quarantined part is let through to see whether it still crashes, in milliseconds. */
const PROBE_AFTER_MS = 300_000;
/** Time between two such requests, in milliseconds. */
const PROBE_INTERVAL_MS = 10_000;
/** Time after which a quarantine ends if no request with the part comes, in milliseconds; the store's longest lease. */
const QUARANTINE_TTL_MS = 600_000;

/**
 * Creates the quarantine of prompt parts. Hosts report crashes to a few judges; a judge that finds the cause writes it
 * to the store, from which all hosts learn it, or tells the hosts itself while the store is away.
 *
 * @param context - Clock, hash, store, engines' control interface, metrics and log
 * @param clusterView - Live hosts, and quarantines in the store
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the quarantine, empty
 *
 * @example
 * const quarantine = createQuarantine(context, clusterView, () => peers);
 */
export function createQuarantine(
    context: Pick<FrontContext, "clock" | "control" | "deployment" | "hash" | "log" | "metrics" | "store">,
    clusterView: Pick<ClusterView, "members" | "onQuarantine" | "quarantined">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): Quarantine {
    const { clock, control, deployment, hash, log, metrics, store } = context;
    const peerContext = { metrics, readPeers };
    const evidence = createCrashEvidence();
    /** Findings that the store doesn't hold yet, with the clock reading at which they were made. */
    const unstored = new Map<PromptPart, number>();
    const probedMs = new Map<PromptPart, number>();
    const pendingCrashes = new Map<string, PendingCrash>();
    const pendingJudgements = new Set<string>();

    const listJudges = (): readonly HostId[] => {
        const hosts = [...clusterView.members.values()].filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
        return rankByRendezvous(hash, JUDGES_KEY, hosts).slice(0, JUDGES);
    };
    /** Returns the clock reading since which a part is quarantined; undefined if it isn't. */
    const readSinceMs = (part: PromptPart): number | undefined => {
        const stored = clusterView.quarantined.get(part)?.sinceMs;
        const foundMs = unstored.get(part);
        if (foundMs !== undefined && clock.nowMs() - foundMs >= QUARANTINE_TTL_MS) {
            unstored.delete(part);
            evidence.clear(part);
            return stored;
        }
        return stored ?? foundMs;
    };
    /** Whether this host may send a request with a quarantined part, to see whether it still crashes engines. */
    const mayProbe = (part: PromptPart, sinceMs: number): boolean => {
        const nowMs = clock.nowMs();
        return nowMs - sinceMs >= PROBE_AFTER_MS
            && nowMs - (probedMs.get(part) ?? -Infinity) >= PROBE_INTERVAL_MS
            && rankByRendezvous(hash, part, [...clusterView.members.keys()])[0] === deployment.host;
    };
    const listQuarantined = (parts: SharedParts): readonly PromptPart[] =>
        clusterView.quarantined.size + unstored.size === 0
            ? []
            : parts.filter(part => readSinceMs(part) !== undefined);
    const refuses = (parts: SharedParts): boolean =>
        listQuarantined(parts).some(part => !mayProbe(part, readSinceMs(part) ?? 0));
    const accept = (part: PromptPart, source: "crashes" | "peer" | "store"): void => {
        if (source !== "store" && readSinceMs(part) === undefined) {
            unstored.set(part, clock.nowMs());
        }
        evidence.accept(part);
        metrics.count("quarantines_total", { source });
        log.write("warn", 408, { part, source });
    };
    const release = async (part: PromptPart, reason: string): Promise<void> => {
        evidence.clear(part);
        unstored.delete(part);
        probedMs.delete(part);
        metrics.count("quarantine_ends_total", { reason });
        log.write("info", 409, { part, reason });
        const stored = clusterView.quarantined.get(part);
        if (stored !== undefined) {
            const key = formatQuarantineKey(part);
            await store.change({ expect: [{ key, revision: stored.revision }], puts: [], removes: [key] })
                .catch(logFailure);
        }
    };
    const logFailure = (err: unknown): void =>
        log.write("warn", 602, { step: toServeError(err, INTERNAL).step, reason: String(err) });
    /** Writes a finding to the store under a lease of its own, so that it ends by itself. */
    const write = async (part: PromptPart): Promise<void> => {
        const key = formatQuarantineKey(part);
        const revision = clusterView.quarantined.get(part)?.revision ?? 0;
        const lease = await store.openLease(QUARANTINE_TTL_MS);
        const puts = [{ key, value: Buffer.from(deployment.host), lease }];
        const reply = await store.change({ expect: [{ key, revision }], puts, removes: [] });
        if (reply.kind !== "written") {
            await store.endLease(lease);
        }
    };
    /** Tells every host of a finding, for the time when they can't learn it from the store. */
    const tellAll = (part: PromptPart): void => {
        for (const member of clusterView.members.values()) {
            if (member.host !== deployment.host) {
                void sendToPeer(peerContext, member, "quarantine", { part });
            }
        }
    };
    /** Writes a finding to the store, unless a judge ranked before this one has done so. */
    const publish = async (part: PromptPart): Promise<void> => {
        const rank = listJudges().indexOf(deployment.host);
        await sleep(clock, WRITE_DELAY_PER_RANK_MS * (rank < 0 ? JUDGES : rank));
        for (let attempt = 0; unstored.has(part); attempt += 1) {
            try {
                await write(part);
                return;
            }
            catch (err) {
                logFailure(err);
                if (attempt === 0) {
                    tellAll(part);
                }
                await sleep(clock, WRITE_RETRY_MS);
            }
        }
    };
    /** Starts a quarantine anew after a request that was let through crashed an engine again. */
    const renew = (part: PromptPart): void => {
        const sinceMs = readSinceMs(part);
        if (sinceMs !== undefined && clock.nowMs() - sinceMs >= PROBE_AFTER_MS) {
            unstored.set(part, clock.nowMs());
            void publish(part);
        }
    };
    const listOtherJudges = (): readonly Member[] =>
        listJudges().filter(host => host !== deployment.host)
            .map(host => clusterView.members.get(host))
            .filter(member => member !== undefined);
    /** Asks the other judges when they answered requests with the part. */
    const collectAnswers = async (part: PromptPart): Promise<void> => {
        const replies = listOtherJudges().map(async member => {
            const reply = await sendToPeer(peerContext, member, "promptAnswered", { part });
            if (reply?.answeredAgoMs !== undefined) {
                evidence.recordAnswer([part], clock.nowMs() - reply.answeredAgoMs);
            }
        });
        await Promise.all(replies);
    };
    /** Judges a crash; a part is accepted only after the other judges were asked about it. */
    const judge = async (engine: string, asked: ReadonlySet<PromptPart> = new Set()): Promise<void> => {
        const finding = evidence.judgeCrash(engine, clock.nowMs());
        switch (finding.kind) {
            case "unclear":
                return;
            case "explained":
                renew(finding.part);
                return;
            case "found":
                if (!asked.has(finding.part)) {
                    await collectAnswers(finding.part);
                    await judge(engine, new Set(asked).add(finding.part));
                }
                else if (readSinceMs(finding.part) === undefined) {
                    finding.explains.forEach(part => void release(part, "explained"));
                    accept(finding.part, "crashes");
                    void publish(finding.part);
                }
                return;
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
    const handleNotice = ({ part }: QuarantineNotice): void => {
        if (readSinceMs(part) === undefined && !evidence.wasAnswered(part, clock.nowMs())) {
            accept(part, "peer");
        }
    };
    const reportCrash = async (report: CrashReport): Promise<void> => {
        metrics.count("engine_crashes_total");
        log.write("warn", 410, {
            engine: report.engine,
            prompts: report.prompts.map(parts => parts.join(",")).join(" "),
        });
        handleCrash(report);
        await Promise.all(
            listOtherJudges().map(async member => {
                const reply = await sendToPeer(peerContext, member, "engineCrash", report);
                reply?.quarantined.forEach(part => handleNotice({ part }));
            }),
        );
    };
    /** Reports a crash if the engine no longer answers; one that does has only broken off some answers. */
    const confirmCrash = async ({ id, address, bornMs }: EngineEntry, pending: PendingCrash): Promise<void> => {
        const hasAnswered = await control.report({ id, address }).then(() => true, () => false);
        pendingCrashes.delete(formatEngineRun(id, bornMs));
        if (!hasAnswered) {
            await reportCrash({ engine: id, bornMs, prompts: pending.prompts });
        }
    };
    clusterView.onQuarantine((part, isSet) => {
        unstored.delete(part);
        if (!isSet) {
            evidence.clear(part);
            probedMs.delete(part);
            log.write("info", 409, { part, reason: "store" });
        }
        else if (evidence.wasAnswered(part, clock.nowMs())) {
            void release(part, "answered");
        }
        else {
            accept(part, "store");
        }
    });
    return {
        refuses,
        handleCrash,
        handleNotice,
        handleQuestion({ part }) {
            const answeredMs = evidence.readAnsweredMs(part);
            return { answeredAgoMs: answeredMs === undefined ? undefined : clock.nowMs() - answeredMs };
        },
        refusesSend(parts) {
            if (refuses(parts)) {
                return true;
            }
            listQuarantined(parts).forEach(part => probedMs.set(part, clock.nowMs()));
            return false;
        },
        recordAnswer(parts) {
            evidence.recordAnswer(parts, clock.nowMs());
            listQuarantined(parts).forEach(part => void release(part, "answered"));
        },
        recordBreak(entry, parts) {
            const key = formatEngineRun(entry.id, entry.bornMs);
            const pending = pendingCrashes.get(key);
            if (pending !== undefined) {
                pending.prompts.push(parts);
                return;
            }
            const first = { prompts: [parts] };
            pendingCrashes.set(key, first);
            void confirmCrash(entry, first);
        },
    };
}

const INTERNAL = { code: "internal", step: "exchange crash reports", peer: "self", outcome: "unknown" } as const;
