import { promisesNotRun } from "@fulmarcleat/platform";
import type { StandinRun } from "@fulmarcleat/platform-standin";
import type { SoakAnswer } from "./sendRequest.js";

/** What engines saw. */
export interface EngineRecord {
    readonly runs: readonly StandinRun[];
    readonly misorders: readonly string[];
}

/**
 * Checks what clients and engines saw against the promises.
 *
 * @param answers - What clients saw
 * @param record - What engines saw
 * @returns a line for each broken promise
 *
 * @example
 * strictEqual(checkAnswers(answers, record).length, 0);
 */
export function checkAnswers(answers: readonly SoakAnswer[], record: EngineRecord): readonly string[] {
    const runs = new Map<string, StandinRun[]>();
    for (const run of record.runs) {
        runs.set(run.requestId, [...runs.get(run.requestId) ?? [], run]);
    }
    const asked = new Set(answers.map(answer => answer.req.id));
    return [
        ...record.misorders.map(misorder => `ORDER ${misorder}`),
        ...[...runs.keys()].filter(id => !asked.has(id)).map(id => `UNASKED ${id} ran and nobody sent it`),
        ...answers.flatMap(answer => checkAnswer(answer, runs.get(answer.req.id) ?? [])),
    ];
}

function checkAnswer(answer: SoakAnswer, runs: readonly StandinRun[]): readonly string[] {
    const { req, status } = answer;
    const broken: string[] = [];
    if (req.kind === "unsafe" && runs.length > 1) {
        broken.push(`TWICE ${req.id} ran ${runs.length} times`);
    }
    if (req.kind === "unsafe" && promisesNotRun(status) && runs.length > 0) {
        broken.push(`REFUSED ${req.id} was answered ${status} and ran on ${runs[0]?.engine}`);
    }
    if (status === 200 && answer.isWhole && !(answer.hasSeal && answer.text === formatWhole(answer))) {
        broken.push(`MIXED ${req.id} got another answer than its own: ${answer.text.slice(0, 80)}`);
    }
    for (const run of runs) {
        if (run.path !== req.path) {
            broken.push(`UNASKED ${req.id} ran as ${run.path}`);
        }
        if (run.adapter !== req.generation?.adapter) {
            broken.push(`ADAPTER ${req.id} ran on ${run.adapter} in place of ${req.generation?.adapter}`);
        }
        if (run.version !== undefined && run.version < req.leastVersion) {
            broken.push(`VERSION ${req.id} ran on version ${run.version}, ${req.leastVersion} was declared before`);
        }
    }
    return broken;
}

/** The whole answer that an engine gives to the request. */
function formatWhole({ req }: SoakAnswer): string {
    if (req.generation === undefined) {
        return `${req.id}:${req.kind === "unsafe" ? req.body.length : 0}`;
    }
    const { events } = req.generation;
    return Array.from({ length: events }, (value, index) => {
        const event = index + 1;
        return `id: ${event}\ndata: ${req.id} ${event}/${events}\n\n`;
    }).join("");
}
