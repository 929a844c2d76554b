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
        ...findMixedStreams(answers),
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
    if (
        status === 200 && answer.isComplete
        && !(answer.hasSignature && removeVersions(answer.text) === formatExpectedText(answer))
    ) {
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

/** Lists the streams that hold events from several software versions, in one answer or over a client's attempts. */
function findMixedStreams(answers: readonly SoakAnswer[]): readonly string[] {
    const versions = new Map<string, Set<string>>();
    for (const { req, text } of answers.filter(answer => answer.req.generation !== undefined)) {
        const id = req.resumed?.requestId ?? req.id;
        const found = [...text.matchAll(EVENT)].map(match => match[2] ?? "");
        versions.set(id, new Set([...versions.get(id) ?? [], ...found]));
    }
    return [...versions].filter(([, found]) => found.size > 1)
        .map(([id, found]) => `ORDER stream ${id} holds events from software versions ${[...found].join(", ")}`);
}

/** A whole event: its number out of the total, and the software version that made it. */
const EVENT = /(\d+\/\d+) (\S+)(?=\n\n)/g;

/** Removes the software versions, which are not part of the expected answer. */
function removeVersions(text: string): string {
    return text.replaceAll(EVENT, "$1");
}

/** Formats the complete answer that an engine gives to a request, without software versions. */
function formatExpectedText({ req }: SoakAnswer): string {
    if (req.generation === undefined) {
        return `${req.id}:${req.kind === "unsafe" ? req.body.length : 0}`;
    }
    const { events } = req.generation;
    const { requestId, afterEvent } = req.resumed ?? { requestId: req.id, afterEvent: 0 };
    return Array.from({ length: events - afterEvent }, (value, index) => {
        const event = afterEvent + index + 1;
        return `id: ${event}\ndata: ${requestId} ${event}/${events}\n\n`;
    }).join("");
}
