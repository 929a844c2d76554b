import type { Priority } from "@fulmarcleat/resources";
import type { EngineRecord } from "@fulmarcleat/standin";
import type { TraceRequest } from "./createTrace.js";
import { formatModel } from "./formatModel.js";
import type { BenchAnswer } from "./sendRequest.js";
import { summarizeTimes } from "./summarizeTimes.js";
import type { TimeSummary } from "./summarizeTimes.js";

/** What the stand-ins and the callers of one run saw. */
export interface RunRecords {
    readonly trace: readonly TraceRequest[];
    readonly answers: readonly BenchAnswer[];
    readonly engines: readonly EngineRecord[];
    /** Start and end of the trace, in milliseconds of the process's monotonic clock. */
    readonly fromMs: number;
    readonly toMs: number;
    readonly tokenMs: number;
}

/** Figures of one policy. */
export interface PolicyFigures {
    readonly requests: number;
    readonly served: number;
    readonly refused: Readonly<Record<string, number>>;
    readonly failed: number;
    readonly loadStallMs: Readonly<Record<Priority | "all", TimeSummary>>;
    readonly urgentTtftMs: TimeSummary;
    readonly bulkTtftMs: TimeSummary;
    /** Places in use over all places, over the trace. */
    readonly batchEfficiency: number;
    /** Places in use over the places that the waiting work could fill. */
    readonly batchEfficiencyWhileWaiting: number;
    readonly loads: number;
    readonly evictions: number;
    readonly goodputTokensPerSecond: number;
    readonly bulkCompleted: number;
    readonly bulkAdmitted: number;
    readonly wrongAdapter: number;
    readonly evictedInUse: number;
    readonly doubleRuns: number;
    readonly truncatedAnswers: number;
    /** Load stall of each request with when it was sent, for plots. */
    readonly stalls: readonly { readonly atMs: number; readonly stallMs: number }[];
}

interface JoinedRequest {
    readonly request: TraceRequest;
    readonly answer: BenchAnswer;
    readonly run: EngineRecord["runs"][number] | undefined;
    readonly stallMs: number;
}

const MS_PER_SECOND = 1000;
const SAMPLE_MS = 50;

/**
 * Counts the figures of a run from the engines' own records.
 *
 * @param records - Trace, answers and the engines' records
 * @returns the figures
 *
 * @example
 * const figures = summarizeRun(records);
 */
export function summarizeRun(records: RunRecords): PolicyFigures {
    const views = joinRecords(records);
    const served = views.filter(view => view.answer.isEnded);
    const refused = views.filter(view => isRefused(view.answer));
    const orders = records.engines.flatMap(engine => engine.orders).filter(order => order.atMs >= records.fromMs);
    const ttft = (priority: Priority): TimeSummary =>
        summarizeTimes(
            views.flatMap(({ request, answer, run }) =>
                request.priority !== priority || run?.firstTokenAtMs === undefined
                    ? []
                    : [run.firstTokenAtMs - answer.sentMs]
            ),
        );
    const stall = (priority: Priority | "all"): TimeSummary =>
        summarizeTimes(
            views.filter(view => priority === "all" || view.request.priority === priority).map(view => view.stallMs),
        );
    const bulk = views.filter(view => view.request.priority === "bulk");
    return {
        requests: views.length,
        served: served.length,
        refused: countBy(refused.map(view => view.answer.reason ?? "unknown")),
        failed: views.length - served.length - refused.length,
        loadStallMs: { all: stall("all"), urgent: stall("urgent"), normal: stall("normal"), bulk: stall("bulk") },
        urgentTtftMs: ttft("urgent"),
        bulkTtftMs: ttft("bulk"),
        ...measureBatches(records, views),
        loads: orders.filter(order => order.order === "load" && order.result === "done").length,
        evictions: orders.filter(order => order.order === "unload" && order.result === "done").length,
        goodputTokensPerSecond: countTokens(served) / (records.toMs - records.fromMs) * MS_PER_SECOND,
        bulkCompleted: bulk.filter(view => view.answer.isEnded).length,
        bulkAdmitted: bulk.filter(view => !isRefused(view.answer)).length,
        wrongAdapter: views.filter(isWrongAdapter).length,
        evictedInUse: records.engines.reduce((sum, engine) => sum + engine.evictedInUse, 0),
        doubleRuns: countDoubleRuns(records),
        truncatedAnswers: served.filter(view => view.answer.pieces.length !== view.request.tokens).length,
        stalls: views.map(view => ({ atMs: view.request.atMs, stallMs: view.stallMs })),
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
    const ranOther = run !== undefined && run.instance.split("#")[0] !== model;
    return ranOther || answer.pieces.some((piece, at) => piece !== `${model}:${at} `);
}

/** Runs of one request that overlap or that both gave a whole answer. */
function countDoubleRuns(records: RunRecords): number {
    const finished = records.engines.flatMap(engine => engine.runs).filter(run => run.end === "finished");
    return finished.length - new Set(finished.map(run => run.prompt)).size;
}

function countTokens(views: readonly JoinedRequest[]): number {
    return views.reduce((sum, view) => sum + view.answer.pieces.length, 0);
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
    views: readonly JoinedRequest[],
): Pick<PolicyFigures, "batchEfficiency" | "batchEfficiencyWhileWaiting"> {
    const slots = records.engines.reduce((sum, engine) => sum + engine.batch.slots, 0);
    let used = 0;
    let samples = 0;
    let usedWhileWaiting = 0;
    let usable = 0;
    for (let atMs = records.fromMs; atMs < records.toMs; atMs += SAMPLE_MS) {
        const running = records.engines.reduce((sum, engine) => sum + countRunning(engine, atMs), 0);
        const open = views.filter(({ answer }) => answer.sentMs <= atMs && atMs < answer.endedMs).length;
        samples += 1;
        used += running;
        if (open > running) {
            usedWhileWaiting += running;
            usable += Math.min(slots, open);
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
