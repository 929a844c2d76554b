import type { Priority } from "@fulmarcleat/resources";
import type { EngineRecord } from "@fulmarcleat/standin";
import type { TraceRequest } from "./createTrace.js";
import { formatModel } from "./formatModel.js";
import type { BenchAnswer } from "./sendRequest.js";
import { summarizeTimes } from "./summarizeTimes.js";
import type { TimeSummary } from "./summarizeTimes.js";

/** Holds the records of the stand-ins and of the callers in one run. */
export interface RunRecords {
    readonly trace: readonly TraceRequest[];
    readonly answers: readonly BenchAnswer[];
    readonly engines: readonly EngineRecord[];
    /** Start and end of the trace, in milliseconds of the process's monotonic clock. */
    readonly fromMs: number;
    readonly toMs: number;
    /** Time per generated token, in milliseconds. */
    readonly tokenMs: number;
}

/** Holds the figures of one policy. */
export interface PolicyFigures {
    readonly requests: number;
    readonly served: number;
    /** Number of refused requests, by error code. */
    readonly refused: Readonly<Record<string, number>>;
    readonly failed: number;
    /** Time that requests waited for their adapter, by class. */
    readonly loadStallMs: Readonly<Record<Priority | "all", TimeSummary>>;
    /** Time to the first token of urgent requests. */
    readonly urgentTtftMs: TimeSummary;
    /** Time to the first token of bulk requests. */
    readonly bulkTtftMs: TimeSummary;
    /** Batch slots in use divided by all batch slots, as an average over the trace. */
    readonly batchEfficiency: number;
    /** Batch slots in use divided by those that the open requests could fill, while requests wait. */
    readonly batchEfficiencyWhileWaiting: number;
    readonly loads: number;
    readonly evictions: number;
    /** Tokens of complete answers per second. */
    readonly goodputTokensPerSecond: number;
    readonly bulkCompleted: number;
    /** Bulk requests that were not refused. */
    readonly bulkAdmitted: number;
    /** Requests that ran on, or were answered by, another adapter version. */
    readonly wrongAdapter: number;
    /** Adapters that were evicted while a request used them. */
    readonly evictedInUse: number;
    /** Runs beyond the first finished one of the same request. */
    readonly doubleRuns: number;
    /** Complete answers with another number of tokens than requested. */
    readonly truncatedAnswers: number;
    /** Send time and load stall of each request, in milliseconds, for plots. */
    readonly stalls: readonly { readonly atMs: number; readonly stallMs: number }[];
}

interface JoinedRequest {
    readonly request: TraceRequest;
    readonly answer: BenchAnswer;
    readonly run: EngineRecord["runs"][number] | undefined;
    readonly stallMs: number;
}

const MS_PER_SECOND = 1000;
/** Time between two samples of the batches, in milliseconds. */
const SAMPLE_INTERVAL_MS = 50;

/**
 * Computes the figures of a run from the records of the stand-ins and the callers.
 *
 * @param records - Trace, answers and records of the stand-ins
 * @returns the figures of the run
 *
 * @example
 * const figures = summarizeRun(records);
 */
export function summarizeRun(records: RunRecords): PolicyFigures {
    const joined = joinRecords(records);
    const served = joined.filter(view => view.answer.isEnded);
    const refused = joined.filter(view => isRefused(view.answer));
    const orders = records.engines.flatMap(engine => engine.orders).filter(order => order.atMs >= records.fromMs);
    const summarizeTtft = (priority: Priority): TimeSummary =>
        summarizeTimes(
            joined.flatMap(({ request, answer, run }) =>
                request.priority !== priority || run?.firstTokenAtMs === undefined
                    ? []
                    : [run.firstTokenAtMs - answer.sentMs]
            ),
        );
    const summarizeStalls = (priority: Priority | "all"): TimeSummary =>
        summarizeTimes(
            joined.filter(view => priority === "all" || view.request.priority === priority).map(view => view.stallMs),
        );
    const bulk = joined.filter(view => view.request.priority === "bulk");
    return {
        requests: joined.length,
        served: served.length,
        refused: countBy(refused.map(view => view.answer.reason ?? "unknown")),
        failed: joined.length - served.length - refused.length,
        loadStallMs: {
            all: summarizeStalls("all"),
            urgent: summarizeStalls("urgent"),
            normal: summarizeStalls("normal"),
            bulk: summarizeStalls("bulk"),
        },
        urgentTtftMs: summarizeTtft("urgent"),
        bulkTtftMs: summarizeTtft("bulk"),
        ...measureBatches(records, joined),
        loads: orders.filter(order => order.order === "load" && order.result === "done").length,
        evictions: orders.filter(order => order.order === "unload" && order.result === "done").length,
        goodputTokensPerSecond: countTokens(served) / (records.toMs - records.fromMs) * MS_PER_SECOND,
        bulkCompleted: bulk.filter(view => view.answer.isEnded).length,
        bulkAdmitted: bulk.filter(view => !isRefused(view.answer)).length,
        wrongAdapter: joined.filter(isWrongAdapter).length,
        evictedInUse: records.engines.reduce((sum, engine) => sum + engine.evictedInUse, 0),
        doubleRuns: countDoubleRuns(records),
        truncatedAnswers: served.filter(view => view.answer.pieces.length !== view.request.tokens).length,
        stalls: joined.map(view => ({ atMs: view.request.atMs, stallMs: view.stallMs })),
    };
}

function joinRecords(records: RunRecords): readonly JoinedRequest[] {
    const runs = new Map(records.engines.flatMap(engine => engine.runs).map(run => [run.prompt, run]));
    const loadedAtMs = new Map(
        records.engines.flatMap(engine => engine.orders)
            .filter(order => order.order === "load" && order.result === "done")
            .map(order => [order.instance, order.atMs]),
    );
    const answers = new Map(records.answers.map(answer => [answer.index, answer]));
    return records.trace.flatMap(request => {
        const answer = answers.get(request.index);
        if (answer === undefined) {
            return [];
        }
        const run = runs.get(`request ${request.index}`);
        const readyMs = run === undefined ? answer.endedMs : loadedAtMs.get(run.instance) ?? answer.sentMs;
        return [{ request, answer, run, stallMs: Math.max(0, readyMs - answer.sentMs) }];
    });
}

function isRefused(answer: BenchAnswer): boolean {
    return answer.status >= 400;
}

function isWrongAdapter({ request, answer, run }: JoinedRequest): boolean {
    const model = formatModel(request.model);
    const ranOnOther = run !== undefined && run.instance.split("#")[0] !== model;
    return ranOnOther || answer.pieces.some((piece, at) => piece !== `${model}:${at} `);
}

/** Counts finished runs beyond the first one of each request. */
function countDoubleRuns(records: RunRecords): number {
    const finished = records.engines.flatMap(engine => engine.runs).filter(run => run.end === "finished");
    return finished.length - new Set(finished.map(run => run.prompt)).size;
}

function countTokens(joined: readonly JoinedRequest[]): number {
    return joined.reduce((sum, view) => sum + view.answer.pieces.length, 0);
}

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    names.forEach(name => {
        counts[name] = (counts[name] ?? 0) + 1;
    });
    return counts;
}

function measureBatches(
    records: RunRecords,
    joined: readonly JoinedRequest[],
): Pick<PolicyFigures, "batchEfficiency" | "batchEfficiencyWhileWaiting"> {
    const slots = records.engines.reduce((sum, engine) => sum + engine.batch.slots, 0);
    let used = 0;
    let samples = 0;
    let usedWhileWaiting = 0;
    let usable = 0;
    for (let atMs = records.fromMs; atMs < records.toMs; atMs += SAMPLE_INTERVAL_MS) {
        const running = records.engines.reduce((sum, engine) => sum + countRunning(engine, atMs), 0);
        const openRequests = joined.filter(({ answer }) => answer.sentMs <= atMs && atMs < answer.endedMs).length;
        samples += 1;
        used += running;
        if (openRequests > running) {
            usedWhileWaiting += running;
            usable += Math.min(slots, openRequests);
        }
    }
    return {
        batchEfficiency: samples === 0 ? 0 : used / (samples * slots),
        batchEfficiencyWhileWaiting: usable === 0 ? 1 : usedWhileWaiting / usable,
    };
}

function countRunning(engine: EngineRecord, atMs: number): number {
    const active = engine.runs.filter(run => run.receivedAtMs <= atMs && atMs < (run.endedAtMs ?? Infinity));
    return Math.min(engine.batch.slots, active.length);
}
