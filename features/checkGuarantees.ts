/** Holds one request of a test and the answer that its caller received. */
export interface SentRequest {
    /** Unique text that identifies the request in the engines' records. */
    readonly prompt: string;
    /** Requested adapter and version, such as `levy@7`. */
    readonly model: string;
    readonly tokens: number;
    /** Idempotency key of a request that may run at most once. */
    readonly key: string | undefined;
    /** HTTP status; 0 if the connection was interrupted. */
    readonly status: number;
    readonly outcome: string | undefined;
    readonly text: string;
}

/** Holds one run as recorded by a stand-in engine. */
export interface RecordedRun {
    readonly prompt: string;
    readonly instance: string;
}

/** Holds what the stand-in engines recorded during a test. */
export interface StandinRecords {
    readonly runs: readonly RecordedRun[];
    /** Number of adapters that were evicted while a request used them. */
    readonly evictedInUse: number;
}

/**
 * Checks the guarantees to the callers by comparing their answers with the stand-ins' records.
 *
 * @param requests - Requests that were sent, with their answers
 * @param records - Runs and evictions recorded by the stand-ins
 * @returns a description of each violation; empty if every guarantee holds
 *
 * @example
 * deepStrictEqual(checkGuarantees(requests, records), []);
 */
export function checkGuarantees(requests: readonly SentRequest[], records: StandinRecords): readonly string[] {
    return [
        ...requests.flatMap(request => checkAnswer(request)),
        ...requests.flatMap(request => checkRuns(request, records.runs)),
        ...checkKeys(requests, records.runs),
        ...(records.evictedInUse > 0 ? [`${records.evictedInUse} evictions in use`] : []),
    ];
}

function checkAnswer(request: SentRequest): readonly string[] {
    if (request.status !== 200) {
        return request.outcome === undefined ? [`${request.prompt}: status ${request.status} without an outcome`] : [];
    }
    const whole = Array.from({ length: request.tokens }, (unused, index) => `${request.model}:${index} `).join("");
    return request.text === whole ? [] : [`${request.prompt}: the answer is not the whole answer of ${request.model}`];
}

function checkRuns(request: SentRequest, runs: readonly RecordedRun[]): readonly string[] {
    const ownRuns = runs.filter(run => run.prompt === request.prompt);
    const wrong = ownRuns.filter(run => run.instance.split("#")[0] !== request.model);
    const isFalse = request.status !== 200 && request.outcome === "not_run" && ownRuns.length > 0
        && request.key === undefined;
    return [
        ...wrong.map(run => `${request.prompt}: ran on ${run.instance} in place of ${request.model}`),
        ...(isFalse ? [`${request.prompt}: called not run, but it ran`] : []),
    ];
}

function checkKeys(requests: readonly SentRequest[], runs: readonly RecordedRun[]): readonly string[] {
    const keys = [...new Set(requests.flatMap(request => (request.key === undefined ? [] : [request.key])))];
    return keys.flatMap(key => {
        const sent = requests.filter(request => request.key === key);
        const prompts = new Set(sent.map(request => request.prompt));
        const count = runs.filter(run => prompts.has(run.prompt)).length;
        const isFalse = count > 0 && sent.every(request => request.status !== 200 && request.outcome === "not_run");
        return [
            ...(count > 1 ? [`${key}: ran ${count} times`] : []),
            ...(isFalse ? [`${key}: each answer says not run, but it ran`] : []),
        ];
    });
}
