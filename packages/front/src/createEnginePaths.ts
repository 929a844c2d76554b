import type { EngineEntry } from "@fulmarcleat/directory";
import { chooseUnresponsiveLimit, OPEN_PATH, readSuspectSince, reduceEnginePath } from "@fulmarcleat/dispatch";
import type { EnginePath, EnginePathMessage } from "@fulmarcleat/dispatch";
import { repeat, sleep } from "@fulmarcleat/ids";
import type { EngineId, HostId, ServiceName } from "@fulmarcleat/ids";
import type {
    EngineProbeReply,
    EngineProbeRequest,
    EngineReachReply,
    EngineReachRequest,
    PeerClient,
} from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { EngineClosures } from "./createEngineClosures.js";
import { createReachSurvey } from "./createReachSurvey.js";
import type { EnginePaths } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";

/** The paths of this host, and its answers to other hosts that ask for them. */
export interface SurveyedPaths extends EnginePaths {
    /** Answers another host that asks which engines of a service this host hears from. */
    answer(request: EngineReachRequest): Promise<EngineReachReply>;
    /** Probes an engine for another host. */
    probeFor(request: EngineProbeRequest): Promise<EngineProbeReply>;
    /** Stops the checks. */
    stop(): void;
}

interface PathRecord {
    path: EnginePath;
    inFlight: number;
    heardMs: number;
    probedMs: number;
    /** Whether a probe has failed that began after other hosts had heard from the engine. */
    isConfirmed: boolean;
}

/** Interval between two checks for paths on which nothing comes, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Time between two probes of one engine, in milliseconds. */
const PROBE_INTERVAL_MS = 1000;
/** Time from a probe until the one that confirms what other hosts say, in milliseconds. */
const CONFIRM_INTERVAL_MS = 400;
/** Most probes of one check. */
const MAX_PROBES = 16;
/** Number of suspect paths from which this host probes its paths to all engines. */
const MIN_SUSPECTS = 2;
/** Time for which nothing has come on a path that counts as lost if others hear the engine, in milliseconds. */
const LOST_AFTER_MS = 1000;
/** Largest difference between the times at which hosts notice the same event at an engine, in milliseconds. */
const NOTICE_SPREAD_MS = 100;
/** Most hosts that another host is told of as hearing from engines. */
const TOLD_HELPERS = 4;
/** Age of the last bytes from any engine of a service from which a host that is asked probes one, in milliseconds. */
const PROVE_AFTER_MS = 500;
/** Longest time for which the answer waits for that probe, in milliseconds; shorter than askers wait. */
const MAX_PROVE_MS = 100;
/** Time since bytes came from an engine up to which other hosts are told of them, in milliseconds. */
const TOLD_MS = 3000;

/**
 * Creates the record of this host's paths to engines. A path on which nothing comes is probed, and other hosts are
 * asked whether they hear from the engine: only then is it the path that is lost, and not the engine.
 *
 * @param context - Clock, engines' control interface, log, metrics and random numbers
 * @param clusterView - Engines, services and live hosts
 * @param closures - Lists the engines that may get work
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param readRunning - Returns the number of clients' requests in flight at this host
 * @param onOpen - Called when a connection to an engine could be opened on a path that was probed
 * @returns the paths, all open at first
 *
 * @example
 * const paths = createEnginePaths(context, clusterView, closures, () => peers, () => handler.running, onOpen);
 */
export function createEnginePaths(
    context: Pick<FrontContext, "clock" | "control" | "deployment" | "log" | "metrics" | "random">,
    clusterView: Pick<ClusterView, "config" | "engines" | "members" | "onEngineRemoved">,
    closures: Pick<EngineClosures, "listOpen">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    readRunning: () => number,
    onOpen: (engine: EngineId) => void,
): SurveyedPaths {
    const { clock, control, log, metrics, random } = context;
    const survey = createReachSurvey(context, clusterView, readPeers);
    const records = new Map<EngineId, PathRecord>();
    const silentServices = new Set<ServiceName>();
    const proofs = new Map<ServiceName, Promise<void>>();

    const open = (engine: EngineId): PathRecord => {
        const existing = records.get(engine)
            ?? { path: OPEN_PATH, inFlight: 0, heardMs: -Infinity, probedMs: -Infinity, isConfirmed: false };
        records.set(engine, existing);
        return existing;
    };
    const update = (record: PathRecord, message: EnginePathMessage): void => {
        record.path = reduceEnginePath(record.path, message);
    };
    const readSilentAfterMs = ({ service }: EngineEntry): number =>
        chooseUnresponsiveLimit(clusterView.config?.services.get(service)?.engine !== undefined);
    const readSince = (entry: EngineEntry): number | undefined => {
        const record = records.get(entry.id);
        return record && readSuspectSince(record.path, clock.nowMs(), readSilentAfterMs(entry));
    };
    const listUsable = (service?: ServiceName): readonly EngineEntry[] =>
        closures.listOpen(service).map(known => known.entry);
    const isServiceSilent = (service: ServiceName): boolean => {
        const engines = listUsable(service);
        return engines.length > 0 && engines.every(entry => readSince(entry) !== undefined);
    };
    const recordHeard = (engine: EngineId): void => {
        const record = open(engine);
        record.heardMs = clock.nowMs();
        record.isConfirmed = false;
        update(record, { kind: "heard" });
    };
    /** Whether other hosts have heard from an engine since this one gets nothing from it. */
    const isHeardByOthers = (entry: EngineEntry): boolean => {
        const sinceMs = readSince(entry);
        return sinceMs !== undefined && (survey.readHeardMs(entry.id) ?? -Infinity) > sinceMs + NOTICE_SPREAD_MS;
    };
    /** Whether a path is open. A connection alone proves nothing where requests have had no answer. */
    const reaches = async ({ id, address }: EngineEntry, { path }: PathRecord): Promise<boolean> =>
        await control.connects({ id, address })
        && (path.unansweredSinceMs === undefined && path.brokenSinceMs === undefined
            || await control.probe({ id, address }) === "running");
    const probe = async (entry: EngineEntry): Promise<void> => {
        const record = open(entry.id);
        const wasHeardByOthers = isHeardByOthers(entry);
        record.probedMs = clock.nowMs();
        const isOpen = await reaches(entry, record);
        metrics.count("path_probes_total", { open: String(isOpen) });
        if (isOpen) {
            record.isConfirmed = false;
            update(record, { kind: "heard" });
            onOpen(entry.id);
        }
        else {
            record.isConfirmed ||= wasHeardByOthers;
            update(record, { kind: "unreachable", atMs: clock.nowMs() });
        }
    };
    const readHeardAgoMs = (service: ServiceName): readonly (readonly [EngineId, number])[] => {
        const atMs = clock.nowMs();
        return listUsable(service)
            .map(({ id }) => [id, Math.round(atMs - (records.get(id)?.heardMs ?? -Infinity))] as const)
            .filter(([, agoMs]) => agoMs <= TOLD_MS);
    };
    const prove = async (entry: EngineEntry): Promise<void> => {
        if (await control.probe({ id: entry.id, address: entry.address }) === "running") {
            recordHeard(entry.id);
        }
        else {
            update(open(entry.id), { kind: "unreachable", atMs: clock.nowMs() });
        }
    };
    /** Gets bytes from an engine of a service that has had no requests lately, one probe at a time. */
    const proveReach = (service: ServiceName): Promise<void> => {
        const unsuspected = listUsable(service).filter(entry => readSince(entry) === undefined);
        const entry = unsuspected[Math.floor(unsuspected.length * random.next())];
        const proof = proofs.get(service)
            ?? (entry && prove(entry).finally(() => void proofs.delete(service)));
        if (proof === undefined) {
            return Promise.resolve();
        }
        proofs.set(service, proof);
        return Promise.race([proof, sleep(clock, MAX_PROVE_MS)]);
    };
    const probeDue = (suspects: readonly EngineEntry[]): void => {
        const atMs = clock.nowMs();
        const all = suspects.length >= MIN_SUSPECTS ? listUsable() : suspects;
        const due = all.filter(entry => {
            const { heardMs, isConfirmed, probedMs } = open(entry.id);
            const intervalMs = !isConfirmed && isHeardByOthers(entry) ? CONFIRM_INTERVAL_MS : PROBE_INTERVAL_MS;
            return atMs - Math.max(probedMs, heardMs) >= intervalMs;
        });
        // Those that have waited longest come first, so that each has its turn however many there are.
        due.sort((a, b) => Math.max(0, open(a.id).probedMs) - Math.max(0, open(b.id).probedMs))
            .slice(0, MAX_PROBES)
            .forEach(entry => void probe(entry));
    };
    const logServices = (services: ReadonlySet<ServiceName>): void => {
        for (const service of services) {
            if (isServiceSilent(service) && !silentServices.has(service)) {
                silentServices.add(service);
                log.write("warn", 214, { service });
            }
        }
        for (const service of silentServices) {
            if (!isServiceSilent(service)) {
                silentServices.delete(service);
                log.write("info", 215, { service });
            }
        }
    };
    const check = (): void => {
        const suspects = listUsable().filter(entry => readSince(entry) !== undefined);
        const services = new Set(suspects.map(entry => entry.service));
        probeDue(suspects);
        logServices(services);
        services.forEach(service => void survey.refresh(service));
    };
    const cancelChecks = repeat(clock, CHECK_INTERVAL_MS, check);
    clusterView.onEngineRemoved(({ id }) => {
        records.delete(id);
        survey.forget(id);
    });
    return {
        recordSend({ id }) {
            const record = open(id);
            record.inFlight += 1;
            update(record, { kind: "sent", atMs: clock.nowMs() });
        },
        recordBytes: ({ id }) => recordHeard(id),
        recordEnd(entry, end) {
            const record = records.get(entry.id);
            const atMs = clock.nowMs();
            if (record === undefined) {
                return;
            }
            record.inFlight = Math.max(0, record.inFlight - 1);
            switch (end) {
                case "unsent":
                    update(record, { kind: "unreachable", atMs });
                    break;
                case "broken":
                    update(record, { kind: "broken", atMs });
                    break;
                case "other":
                    break;
            }
            if (record.inFlight === 0) {
                update(record, { kind: "withdrawn", atMs, silentAfterMs: readSilentAfterMs(entry) });
            }
        },
        isPathLost(engine) {
            const entry = clusterView.engines.get(engine)?.entry;
            const sinceMs = entry && readSince(entry);
            // An engine that has just started again is heard by some hosts sooner than by others.
            return entry !== undefined && sinceMs !== undefined && clock.nowMs() - sinceMs >= LOST_AFTER_MS
                && isHeardByOthers(entry) && records.get(engine)?.isConfirmed === true;
        },
        hasSuspect: service => listUsable(service).some(entry => readSince(entry) !== undefined),
        isServiceSilent,
        async findHelper(service, excluded) {
            const find = (): Member | undefined =>
                survey.listHelpers(service).find(({ host }: { readonly host: HostId }) => !excluded.has(host));
            const known = find();
            const refreshed = survey.refresh(service);
            if (known !== undefined) {
                return known;
            }
            await refreshed;
            return find();
        },
        isReachedByOthers: (engine, sinceMs) =>
            (survey.readHeardMs(engine) ?? -Infinity) > sinceMs ? Promise.resolve(true) : survey.probe(engine),
        async probeFor({ engine }) {
            const entry = clusterView.engines.get(engine)?.entry;
            return {
                probe: entry === undefined ? "unclear" : await control.probe({ id: engine, address: entry.address }),
            };
        },
        async answer({ service }) {
            if (!readHeardAgoMs(service).some(([, agoMs]) => agoMs <= PROVE_AFTER_MS)) {
                await proveReach(service);
            }
            const helpers = survey.listHelpers(service).slice(0, TOLD_HELPERS).map(({ host }) => host);
            return { heardAgoMs: readHeardAgoMs(service), helpers, running: readRunning() };
        },
        stop: cancelChecks,
    };
}
