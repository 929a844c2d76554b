import type { EngineReport } from "@fulmarcleat/drivers";
import { decayRate } from "@fulmarcleat/placement";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, Place, Stray } from "./engineState.js";
import { parseInstanceName } from "./parseInstanceName.js";

/** Age of a report, in milliseconds, beyond which it is taken to show what was ordered before. */
export const REPORT_LAG_MS = 10_000;

/** How long a granted place may wait for its request to start, in milliseconds. */
export const PLACE_START_MS = 5_000;

/**
 * Takes in an engine's own report.
 *
 * @param state - The engine
 * @param message - The report and when it was asked for
 * @param context - Time
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
    const isNew = state.engineIncarnation !== report.incarnation;
    const before = isRestarted ? forgetLoaded(state) : state;
    const instances = [
        ...before.instances.flatMap(instance => mergeInstance(instance, report, askedMs)),
        ...listUnknown(before, report, { askedMs, nowMs: context.nowMs }),
    ];
    const places = before.places.filter(place => !isOrphanOver(place, report, askedMs));
    const strays = before.strays.filter(stray => !isStrayOver(stray, report, askedMs, state.limits.maxRequestMs));
    return {
        ...before,
        engineIncarnation: report.incarnation,
        incarnationMs: isNew ? context.nowMs : before.incarnationMs,
        isFenceSeen: isNew ? false : before.isFenceSeen,
        instances,
        places,
        strays,
    };
}

function isStrayOver(stray: Stray, report: EngineReport, askedMs: number, maxRequestMs: number): boolean {
    const running = report.instances.find(entry => entry.instance === stray.instance)?.running ?? 0;
    const ageMs = askedMs - stray.sinceMs;
    return ageMs > REPORT_LAG_MS + maxRequestMs || (ageMs > REPORT_LAG_MS && running === 0);
}

function forgetLoaded(state: EngineState): EngineState {
    return {
        ...state,
        instances: state.instances.filter(instance => instance.status === "loading" || instance.status === "doubtful"),
        strays: [],
    };
}

function mergeInstance(instance: Instance, report: EngineReport, askedMs: number): readonly Instance[] {
    const reported = report.instances.find(entry => entry.instance === instance.instance);
    const isOld = askedMs - instance.sinceMs > REPORT_LAG_MS;
    if (reported === undefined) {
        const isGone = isOld && instance.status !== "loading";
        return isGone ? [] : [{ ...instance, reportedRunning: 0, endedSinceReport: 0, reportedMs: askedMs }];
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

function listUnknown(
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

function isOrphanOver(place: Place, report: EngineReport, askedMs: number): boolean {
    if (place.orphanedMs === undefined) {
        return false;
    }
    const running = report.instances.find(entry => entry.instance === place.instance)?.running ?? 0;
    const isLateEnough = askedMs - Math.max(place.orphanedMs, place.grantedMs + PLACE_START_MS) > REPORT_LAG_MS;
    return isLateEnough && running === 0;
}
