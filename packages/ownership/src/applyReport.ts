import type { EngineReport } from "@fulmarcleat/drivers";
import { decayRate } from "@fulmarcleat/placement";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, Place, UntrackedRun } from "./engineState.js";
import { parseInstanceName } from "./parseInstanceName.js";

/** Time after which an engine's report shows the effect of an earlier order, in milliseconds. */
export const REPORT_LAG_MS = 10_000;

/** Longest time between the grant of a place and the start of its request, in milliseconds. */
export const PLACE_START_TIMEOUT_MS = 5_000;

/**
 * Applies an engine's report of its loaded instances and running requests.
 *
 * @param state - Current state of the engine
 * @param message - The report and when it was requested
 * @param context - Time at which the report is applied
 * @returns the next state
 *
 * @example
 * const next = applyReport(state, { kind: "report", report, askedMs }, { nowMs, loadsAllowed: 0 });
 */
export function applyReport(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "report" }>,
    context: EngineContext,
): EngineState {
    const { report, askedMs } = message;
    const isRestarted = state.engineIncarnation !== undefined && state.engineIncarnation !== report.incarnation;
    const isNewIncarnation = state.engineIncarnation !== report.incarnation;
    const before = isRestarted ? dropLoadedInstances(state) : state;
    const instances = [
        ...before.instances.flatMap(instance => mergeInstance(instance, report, askedMs)),
        ...listUnknownInstances(before, report, { askedMs, nowMs: context.nowMs }),
    ];
    const places = before.places.filter(place => !isOrphanedPlaceOver(place, report, askedMs));
    const untrackedRuns = before.untrackedRuns.filter(run =>
        !isUntrackedRunOver(run, report, askedMs, state.limits.maxRequestMs)
    );
    return {
        ...before,
        engineIncarnation: report.incarnation,
        incarnationMs: isNewIncarnation ? context.nowMs : before.incarnationMs,
        isFenceConfirmed: isNewIncarnation ? false : before.isFenceConfirmed,
        instances,
        places,
        untrackedRuns,
    };
}

function isUntrackedRunOver(run: UntrackedRun, report: EngineReport, askedMs: number, maxRequestMs: number): boolean {
    const running = report.instances.find(entry => entry.instance === run.instance)?.running ?? 0;
    const ageMs = askedMs - run.sinceMs;
    return ageMs > REPORT_LAG_MS + maxRequestMs || (ageMs > REPORT_LAG_MS && running === 0);
}

function dropLoadedInstances(state: EngineState): EngineState {
    return {
        ...state,
        instances: state.instances.filter(instance => instance.status === "loading" || instance.status === "doubtful"),
        untrackedRuns: [],
    };
}

function mergeInstance(instance: Instance, report: EngineReport, askedMs: number): readonly Instance[] {
    const reported = report.instances.find(entry => entry.instance === instance.instance);
    const isOld = askedMs - instance.sinceMs > REPORT_LAG_MS;
    if (reported === undefined) {
        const isAbsent = isOld && instance.status !== "loading";
        return isAbsent ? [] : [{ ...instance, reportedRunning: 0, endedSinceReport: 0, reportedMs: askedMs }];
    }
    const status = instance.status === "doubtful" ? "ready" : instance.status;
    const sinceMs = status === instance.status ? instance.sinceMs : askedMs;
    return [{
        ...instance,
        status,
        sinceMs,
        reportedRunning: reported.running,
        endedSinceReport: 0,
        reportedMs: askedMs,
    }];
}

function listUnknownInstances(
    state: EngineState,
    report: EngineReport,
    times: { askedMs: number; nowMs: number },
): readonly Instance[] {
    const { askedMs, nowMs } = times;
    return report.instances
        .filter(entry => !state.instances.some(instance => instance.instance === entry.instance))
        .flatMap(entry => {
            const parts = parseInstanceName(entry.instance);
            if (parts === undefined) {
                return [];
            }
            const isOwn = parts.fence === state.fence && parts.load <= state.lastLoad;
            return [
                {
                    instance: entry.instance,
                    adapter: parts.adapter,
                    version: parts.version,
                    status: isOwn ? "ready" : "foreign",
                    sinceMs: nowMs,
                    lastUsedMs: nowMs,
                    rate: decayRate(undefined, 0, nowMs),
                    reportedRunning: entry.running,
                    endedSinceReport: 0,
                    reportedMs: askedMs,
                } satisfies Instance,
            ];
        });
}

function isOrphanedPlaceOver(place: Place, report: EngineReport, askedMs: number): boolean {
    if (place.orphanedMs === undefined) {
        return false;
    }
    const running = report.instances.find(entry => entry.instance === place.instance)?.running ?? 0;
    const isReportConclusive =
        askedMs - Math.max(place.orphanedMs, place.grantedMs + PLACE_START_TIMEOUT_MS) > REPORT_LAG_MS;
    return isReportConclusive && running === 0;
}
