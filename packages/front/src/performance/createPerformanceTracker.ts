import type { EngineEntry, EngineLoad, Service } from "@fulmarcleat/directory";
import type { EnginePace } from "@fulmarcleat/dispatch";
import type { EngineId, ServiceName } from "@fulmarcleat/ids";
import {
    computeMedians,
    estimatePace,
    fadeLearned,
    HOST_SAMPLES,
    readSlowdown,
    reducePerformance,
    reduceWorkFactor,
    summarizeGaps,
    UNKNOWN_PERFORMANCE,
    UNKNOWN_WORK_FACTOR,
} from "@fulmarcleat/performance";
import type {
    EnginePerformance,
    LearnedPace,
    PaceMedians,
    PerformanceSample,
    UsualPace,
    WorkFactor,
} from "@fulmarcleat/performance";
import type { LearnedPerformance, ObservedPerformance } from "@fulmarcleat/wire";
import type { FrontContext } from "../frontContext.js";
import { MAX_REPORTED_SAMPLES } from "./createOwnerPerformance.js";
import { decodePace, US_PER_MS } from "./encodePace.js";
import { reportPaces } from "./reportPaces.js";

/** Speed of engines as this host and the engines' owners observe it. */
export interface PerformanceTracker {
    /**
     * Records what an engine states with an answer. From the first answer on that states how long work takes, the speed
     * of all engines of its service is learned.
     */
    recordLoad(entry: EngineEntry, service: Service, load: EngineLoad): void;
    /** Whether the speed of a service's engines is learned. */
    isLearning(service: ServiceName): boolean;
    /** Records a duration that this host observed at an engine. */
    recordSample(entry: EngineEntry, sample: PerformanceSample): void;
    /** Records the time between two events of a stream, in milliseconds. */
    recordGap(entry: EngineEntry, gapMs: number): void;
    /** Returns an engine's speed; undefined where it is not learned. */
    readPace(entry: EngineEntry): EnginePace | undefined;
    /** Returns what was observed at an engine since the last call; undefined if there is nothing. */
    takeSeen(engine: EngineId): ObservedPerformance | undefined;
    /** Records what an engine's owner has learned. */
    recordOwnerPace(engine: EngineId, pace: LearnedPerformance): void;
    remove(engine: EngineId): void;
}

/** What this host knows of one engine. */
interface EngineRecord {
    state: EnginePerformance;
    work: WorkFactor;
    /** Times between events that have not been summarized. */
    gapsMs: number[];
    gapsSinceMs: number;
    /** Samples that have not been reported to the owner. */
    firstBytes: (readonly [number, number])[];
    eventsUs: number[];
}

/** A service whose engines state how long work takes. */
interface ServiceRecord {
    readonly name: ServiceName;
    readonly isPlain: boolean;
    eventTokens: number;
    readonly engines: Map<EngineId, EngineRecord>;
    medians: PaceMedians;
    mediansAtMs: number;
    /** Speeds that were estimated with these medians and have not changed since. */
    readonly usualPaces: Map<EngineId, UsualPace>;
    statedAtMs: number;
}

/** What an owner has reported. */
interface OwnerPace {
    readonly learned: LearnedPace;
    readonly atMs: number;
}

/**
 * How long the medians of a service are used, in milliseconds. They change slowly, and a choice among 98 engines needs
 * each engine's speed, of which one takes 4 us to estimate.
 */
const MEDIANS_VALID_MS = 1000;
/** Times between events that are summarized at once. */
const MAX_GAPS = 12;
/** Fewest times between events that are summarized; some of them include the processing of other prompts. */
const MIN_GAPS = 4;
/** Age at which times between events are dropped if they are too few, in milliseconds. */
const MAX_GAPS_AGE_MS = 2000;
/**
 * Shortest interval between two samples of an engine's work, in milliseconds; plain services get hundreds of requests per
 * second, of which few are enough.
 */
const WORK_INTERVAL_MS = 20;
/** Time without a request after which an engine is forgotten, in milliseconds; its samples have no weight by then. */
const MAX_IDLE_MS = 120_000;
/** Time without a statement after which the engines of a service count as making none, in milliseconds. */
const STATED_VALID_MS = 600_000;

/**
 * Creates a tracker for the speed of engines.
 *
 * @param context - Clock, metrics and log
 * @param isAlwaysLearning - Whether the speed of model engines is learned that don't state how long work takes
 * @returns the tracker, which knows no engine
 *
 * @example
 * const performance = createPerformanceTracker(context);
 */
export function createPerformanceTracker(
    context: Pick<FrontContext, "clock" | "log" | "metrics">,
    isAlwaysLearning: boolean = false,
): PerformanceTracker {
    const { clock, metrics } = context;
    const services = new Map<ServiceName, ServiceRecord>();
    const ownerPaces = new Map<EngineId, OwnerPace>();
    const report = reportPaces(context);
    const find = (engine: EngineId): EngineRecord | undefined => {
        for (const { engines } of services.values()) {
            const record = engines.get(engine);
            if (record !== undefined) {
                return record;
            }
        }
        return undefined;
    };
    const findLearning = (name: ServiceName): ServiceRecord | undefined => {
        const service = services.get(name);
        return service !== undefined && clock.nowMs() - service.statedAtMs <= STATED_VALID_MS ? service : undefined;
    };
    const getOrCreateRecord = ({ engines }: ServiceRecord, engine: EngineId): EngineRecord => {
        const existing = engines.get(engine);
        if (existing !== undefined) {
            return existing;
        }
        const record: EngineRecord = {
            state: UNKNOWN_PERFORMANCE,
            work: UNKNOWN_WORK_FACTOR,
            gapsMs: [],
            gapsSinceMs: 0,
            firstBytes: [],
            eventsUs: [],
        };
        engines.set(engine, record);
        return record;
    };
    const addSample = (record: EngineRecord, sample: PerformanceSample): void => {
        const atMs = clock.nowMs();
        record.state = reducePerformance(record.state, sample, atMs, HOST_SAMPLES);
        metrics.count("engine_samples_total", { kind: sample.kind });
        const us = Math.round(sample.ms * US_PER_MS);
        switch (sample.kind) {
            case "first_byte":
                record.firstBytes = [...record.firstBytes, [sample.tokens, us] as const].slice(-MAX_REPORTED_SAMPLES);
                return;
            case "event":
                record.eventsUs = [...record.eventsUs, us].slice(-MAX_REPORTED_SAMPLES);
                return;
            case "work":
                return;
        }
    };
    const summarize = (record: EngineRecord): void => {
        const ms = summarizeGaps(record.gapsMs);
        record.gapsMs = [];
        if (ms !== undefined) {
            addSample(record, { kind: "event", ms, tokens: 0 });
        }
    };
    /** Returns what is known of an engine: the owner's report, or this host's samples if there are more of them. */
    const readLearned = (service: ServiceRecord, engine: EngineId): LearnedPace | undefined => {
        const atMs = clock.nowMs();
        const record = service.engines.get(engine);
        const own = record === undefined ? undefined : fadeLearned(record.state, atMs);
        const reported = ownerPaces.get(engine);
        const owners = reported === undefined
            ? undefined
            : fadeLearned(
                { ...UNKNOWN_PERFORMANCE, learned: reported.learned, changedAtMs: reported.atMs },
                atMs,
            );
        return countSamples(owners) >= countSamples(own) ? owners ?? own : own;
    };
    /** Forgets engines that had no request for long, so that memory depends on the requests and not on the engines. */
    const forgetIdle = ({ engines }: ServiceRecord, atMs: number): void => {
        engines.forEach(({ work, state }, engine) => {
            if (atMs - Math.max(work.atMs, state.changedAtMs) > MAX_IDLE_MS) {
                engines.delete(engine);
            }
        });
        ownerPaces.forEach((pace, engine) => {
            if (atMs - pace.atMs > MAX_IDLE_MS) {
                ownerPaces.delete(engine);
            }
        });
    };
    const readUsualPace = (service: ServiceRecord, engine: EngineId): UsualPace => {
        const atMs = clock.nowMs();
        if (atMs - service.mediansAtMs >= MEDIANS_VALID_MS) {
            forgetIdle(service, atMs);
            service.mediansAtMs = atMs;
            service.medians = computeMedians(
                [...service.engines.keys()].flatMap(id => readLearned(service, id) ?? []),
            );
            service.usualPaces.clear();
        }
        const existing = service.usualPaces.get(engine);
        if (existing !== undefined) {
            return existing;
        }
        const pace = estimatePace(readLearned(service, engine), service.medians, service);
        service.usualPaces.set(engine, pace);
        return pace;
    };
    const clearUsualPace = (engine: EngineId): void => services.forEach(({ usualPaces }) => usualPaces.delete(engine));
    const divide = (record: EngineRecord, ms: number): number => ms / readSlowdown(record.work, clock.nowMs());
    const readPace = ({ id, service: name }: EngineEntry): EnginePace | undefined => {
        const service = findLearning(name);
        if (service === undefined) {
            return undefined;
        }
        const record = service.engines.get(id);
        return {
            ...readUsualPace(service, id),
            slowdown: record === undefined ? 1 : readSlowdown(record.work, clock.nowMs()),
        };
    };
    return {
        recordLoad(entry, { engine: spec }, { workPercent }) {
            if (workPercent === undefined && !(isAlwaysLearning && spec !== undefined)) {
                return;
            }
            const atMs = clock.nowMs();
            const service = services.get(entry.service) ?? {
                name: entry.service,
                isPlain: spec === undefined,
                eventTokens: spec?.eventTokens ?? 1,
                engines: new Map<EngineId, EngineRecord>(),
                medians: computeMedians([]),
                mediansAtMs: -Infinity,
                usualPaces: new Map<EngineId, UsualPace>(),
                statedAtMs: atMs,
            };
            services.set(entry.service, service);
            service.statedAtMs = atMs;
            service.eventTokens = spec?.eventTokens ?? 1;
            const record = getOrCreateRecord(service, entry.id);
            if (workPercent !== undefined) {
                record.work = reduceWorkFactor(record.work, workPercent, atMs);
            }
            report(entry.service, [...service.engines.keys()], id => readPace({ ...entry, id }));
        },
        isLearning: name => findLearning(name) !== undefined,
        recordSample(entry, sample) {
            const service = findLearning(entry.service);
            if (service === undefined) {
                return;
            }
            const record = getOrCreateRecord(service, entry.id);
            const workedMs = record.state.works.at(-1)?.atMs ?? -Infinity;
            if (sample.kind !== "work" || clock.nowMs() - workedMs >= WORK_INTERVAL_MS) {
                addSample(record, { ...sample, ms: divide(record, sample.ms) });
                clearUsualPace(entry.id);
            }
        },
        recordGap(entry, gapMs) {
            const service = findLearning(entry.service);
            if (service === undefined) {
                return;
            }
            const record = getOrCreateRecord(service, entry.id);
            const atMs = clock.nowMs();
            if (atMs - record.gapsSinceMs > MAX_GAPS_AGE_MS) {
                record.gapsMs = [];
            }
            if (record.gapsMs.length === 0) {
                record.gapsSinceMs = atMs;
            }
            record.gapsMs.push(divide(record, gapMs));
            if (record.gapsMs.length >= MAX_GAPS) {
                summarize(record);
                clearUsualPace(entry.id);
            }
        },
        readPace,
        takeSeen(engine) {
            const record = find(engine);
            if (record === undefined) {
                return undefined;
            }
            if (record.gapsMs.length >= MIN_GAPS) {
                summarize(record);
                clearUsualPace(engine);
            }
            const { firstBytes, eventsUs } = record;
            record.firstBytes = [];
            record.eventsUs = [];
            return firstBytes.length + eventsUs.length === 0 ? undefined : [firstBytes, eventsUs];
        },
        recordOwnerPace(engine, pace) {
            ownerPaces.set(engine, { learned: decodePace(pace), atMs: clock.nowMs() });
            clearUsualPace(engine);
        },
        remove(engine) {
            ownerPaces.delete(engine);
            clearUsualPace(engine);
            services.forEach(({ engines }) => engines.delete(engine));
        },
    };
}

function countSamples(learned: LearnedPace | undefined): number {
    return learned === undefined ? 0 : learned.reads + learned.events + learned.works;
}
