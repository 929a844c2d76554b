/** One request of a fault run and what its caller got. */
export interface SentRequest {
    /** Unique text that the engines' records show again. */
    readonly prompt: string;
    /** Adapter and version asked for. */
    readonly model: string;
    readonly tokens: number;
    /** Key of a request that may run at most once. */
    readonly key: string | undefined;
    readonly status: number;
    readonly outcome: string | undefined;
    readonly text: string;
}

/** One run in an engine's own record. */
export interface RecordedRun {
    readonly prompt: string;
    readonly instance: string;
}

/** What the stand-ins saw during a fault run. */
export interface SeenByStandins {
    readonly runs: readonly RecordedRun[];
    readonly evictedInUse: number;
}

/**
 * Checks the users' promises from outside: the callers' answers against the stand-ins' records.
 *
 * @param requests - What was sent and answered
 * @param seen - What the stand-ins saw
 * @returns each broken promise in words; none where all hold
 *
 * @example
 * deepStrictEqual(checkPromises(requests, seen), []);
 */
export function checkPromises(requests: readonly SentRequest[], seen: SeenByStandins): readonly string[] {
    return [
        ...requests.flatMap(request => checkAnswer(request)),
        ...requests.flatMap(request => checkRuns(request, seen.runs)),
        ...checkKeys(requests, seen.runs),
        ...(seen.evictedInUse > 0 ? [`${seen.evictedInUse} evictions in use`] : []),
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
    const own = runs.filter(run => run.prompt === request.prompt);
    const wrong = own.filter(run => run.instance.split("#")[0] !== request.model);
    const isFalse = request.status !== 200 && request.outcome === "not_run" && own.length > 0
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
