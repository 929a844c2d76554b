import { promisesNotRun } from "@fulmarcleat/platform";
import type { StandinRun } from "@fulmarcleat/platform-standin";
import type { SoakAnswer } from "./sendRequest.js";

/** What the engine stand-ins recorded. */
export interface EngineRecord {
    readonly runs: readonly StandinRun[];
    /** Orders to engines that violate the platform's rules, one line each. */
    readonly invalidOrders: readonly string[];
}

/**
 * Checks the answers of clients and the runs on engines against the platform's guarantees.
 *
 * @param answers - One answer for each request that a client sent
 * @param record - Runs and invalid orders of all engines
 * @returns one line for each violated guarantee; its first word names the guarantee
 *
 * @example
 * strictEqual(checkAnswers(answers, record).length, 0);
 */
export function checkAnswers(answers: readonly SoakAnswer[], record: EngineRecord): readonly string[] {
    const runs = new Map<string, StandinRun[]>();
    for (const run of record.runs) {
        runs.set(run.requestId, [...runs.get(run.requestId) ?? [], run]);
    }
    const sentIds = new Set(answers.map(answer => answer.req.id));
    return [
        ...record.invalidOrders.map(order => `ORDER ${order}`),
        ...[...runs.keys()].filter(id => !sentIds.has(id)).map(id => `UNASKED ${id} ran, but no client sent it`),
        ...answers.flatMap(answer => checkAnswer(answer, runs.get(answer.req.id) ?? [])),
    ];
}

function checkAnswer(answer: SoakAnswer, runs: readonly StandinRun[]): readonly string[] {
    const { req, status } = answer;
    const violations: string[] = [];
    if (req.kind === "unsafe" && runs.length > 1) {
        violations.push(`TWICE ${req.id} ran ${runs.length} times`);
    }
    if (req.kind === "unsafe" && promisesNotRun(status) && runs.length > 0) {
        violations.push(`REFUSED ${req.id} was answered ${status} and ran on ${runs[0]?.engine}`);
    }
    if (status === 200 && answer.isComplete && !(answer.hasSignature && answer.text === formatExpectedText(answer))) {
        violations.push(
            `MIXED ${req.id} got an answer that differs from the expected one: ${answer.text.slice(0, 80)}`,
        );
    }
    for (const run of runs) {
        if (run.path !== req.path) {
            violations.push(`UNASKED ${req.id} ran as ${run.path}`);
        }
        if (run.adapter !== req.generation?.adapter) {
            violations.push(`ADAPTER ${req.id} ran on adapter ${run.adapter} instead of ${req.generation?.adapter}`);
        }
        if (run.version !== undefined && run.version < req.minVersion) {
            violations.push(
                `VERSION ${req.id} ran on version ${run.version}, although ${req.minVersion} was already in effect`,
            );
        }
    }
    return violations;
}

/** Formats the complete answer that an engine gives to a request. */
function formatExpectedText({ req }: SoakAnswer): string {
    if (req.generation === undefined) {
        return `${req.id}:${req.kind === "unsafe" ? req.body.length : 0}`;
    }
    const { events } = req.generation;
    return Array.from({ length: events }, (value, index) => {
        const event = index + 1;
        return `id: ${event}\ndata: ${req.id} ${event}/${events}\n\n`;
    }).join("");
}
