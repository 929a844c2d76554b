import { PROMPT_TOKENS } from "@fulmarcleat/platform-standin";
import type { StandinAccount, StandinRun } from "@fulmarcleat/platform-standin";
import type { KeyHistory } from "./createKeyHistory.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";

/** Cost of a request, or of several, and when they were sent or run. */
interface Use {
    readonly atMs: number;
    readonly cost: number;
}

/** Length of the windows in which limits are binding, in milliseconds. */
const WINDOW_MS = 8000;
/** Share by which accounts may exceed their limit in a window. */
const EXCESS_RATIO = 0.1;
/** Tokens by which accounts may exceed that in addition. */
const SLACK_TOKENS = 110_000;
/** Divisor of a limit that gives the usual demand, which is never refused. */
const USUAL_DIVISOR = 1.8;
const MS_PER_S = 1000;

/**
 * Checks answers and runs of a fleet with accounts: no engine gets a key or another account than the key's, nothing runs
 * for a key that is in no configuration, only requests without a valid key get status 401, only those of accounts that
 * send more than usual get 429, and no account exceeds its limit.
 *
 * @param answers - One answer for each request that a client sent
 * @param runs - Runs on all engines
 * @param history - Accounts of all configurations
 * @returns one line for each violated guarantee; its first word names the guarantee
 *
 * @example
 * const violations = checkAccounts(answers, record.runs, history);
 */
export function checkAccounts(
    answers: readonly SoakAnswer[],
    runs: readonly StandinRun[],
    history: KeyHistory,
): readonly string[] {
    const byId = new Map(answers.map(answer => [answer.req.id, answer]));
    const ranIds = new Set(runs.map(run => run.requestId));
    return [
        ...runs.flatMap(run => checkRun(run, byId.get(run.requestId), history)),
        ...answers.filter(({ req, status }) => (status === 401 || status === 429) && ranIds.has(req.id))
            .map(({ req, status }) => `REFUSED ${req.id} was answered ${status} and ran`),
        ...answers.filter(answer => answer.status === 401 && !mayLackAccount(answer, history))
            .map(({ req, host }) => `KEY ${req.id} was answered 401 by ${host}, although it had the right to run`),
        ...answers.filter(({ req, status }) => status === 429 && req.isAnonymous === true)
            .map(({ req, host }) => `LIMIT ${req.id} was answered 429 by ${host}, although it belongs to no account`),
        ...findUnjustRefusals([...answers].sort((a, b) => a.sentAtMs - b.sentAtMs), history),
        ...history.accounts.flatMap(account => findExcess(account, runs, byId)),
    ];
}

function checkRun(run: StandinRun, answer: SoakAnswer | undefined, history: KeyHistory): readonly string[] {
    const violations = run.hasKey ? [`KEY ${run.engine} got the key of ${run.requestId}`] : [];
    if (answer === undefined) {
        return violations;
    }
    const { req } = answer;
    const owners = listOwners(answer, history, req.configAgeMs ?? 0);
    const isFit = req.isAnonymous === true
        ? run.account === undefined
        : run.account !== undefined && owners.has(run.account);
    const expected = req.isAnonymous === true
        ? "no account"
        : [...owners].map(owner => owner ?? "not at all").join(" or ");
    return isFit
        ? violations
        : [...violations, `ACCOUNT ${req.id} ran for ${run.account ?? "no account"} instead of ${expected}`];
}

/** Lists the accounts that a request's key may belong to; hosts may go on with a configuration of some age. */
function listOwners(
    { req, sentAtMs, endedAtMs }: SoakAnswer,
    history: KeyHistory,
    configAgeMs: number,
): ReadonlySet<string | undefined> {
    return history.listOwners(req.apiKey, sentAtMs - configAgeMs, endedAtMs);
}

/** Whether a host that knows the newest configuration in force may have found no account for a request. */
function mayLackAccount(answer: SoakAnswer, history: KeyHistory): boolean {
    return answer.req.isAnonymous !== true && listOwners(answer, history, 0).has(undefined);
}

/** Lists the refused requests of accounts that had sent no more than usual in each second of the window before. */
function findUnjustRefusals(answers: readonly SoakAnswer[], history: KeyHistory): readonly string[] {
    const owned = answers.filter(({ req }) => req.isAnonymous !== true)
        .map(answer => ({ answer, owners: listOwners(answer, history, answer.req.configAgeMs ?? 0) }));
    const busyMoments = new Map(history.accounts.map(({ name, limit }) => {
        const uses = owned.filter(({ owners }) => owners.has(name))
            .map(({ answer }) => ({ atMs: answer.sentAtMs, cost: computeCost(answer.req, limit) }));
        const usual = limit === undefined ? Infinity : limit.perSecond / USUAL_DIVISOR;
        return [name, sumWindows(uses, MS_PER_S).filter(({ cost }) => cost > usual).map(({ atMs }) => atMs)];
    }));
    const isJust = ({ endedAtMs }: SoakAnswer, owners: ReadonlySet<string | undefined>): boolean =>
        [...owners].some(name =>
            busyMoments.get(name ?? "")?.some(atMs => atMs >= endedAtMs - WINDOW_MS && atMs <= endedAtMs)
        );
    return owned.filter(({ answer, owners }) => answer.status === 429 && !isJust(answer, owners))
        .map(({ answer: { req, host } }) => `LIMIT ${req.id} was answered 429 by ${host}, below the limit`);
}

/** Describes the window in which an account has used most, if that is more than its limit allows. */
function findExcess(
    { name, limit }: StandinAccount,
    runs: readonly StandinRun[],
    byId: ReadonlyMap<string, SoakAnswer>,
): readonly string[] {
    if (limit === undefined) {
        return [];
    }
    const charged = new Map<string, Use>();
    for (const { account, requestId, startedAtMs } of runs) {
        const req = byId.get(requestId)?.req;
        if (account === name && req !== undefined && !charged.has(requestId)) {
            charged.set(requestId, { atMs: startedAtMs, cost: computeCost(req, limit) });
        }
    }
    const uses = [...charged.values()].sort((a, b) => a.atMs - b.atMs);
    const most = Math.max(0, ...sumWindows(uses, WINDOW_MS).map(({ cost }) => cost));
    const allowed = (limit.perSecond * WINDOW_MS / MS_PER_S + limit.burst) * (1 + EXCESS_RATIO) + SLACK_TOKENS;
    return most <= allowed
        ? []
        : [`LIMIT ${name} used ${most} tokens in ${WINDOW_MS} ms, ${Math.round(allowed)} are allowed`];
}

/** Computes what a request costs its account, in tokens. */
function computeCost({ generation }: SoakRequest, limit: StandinAccount["limit"]): number {
    return generation === undefined ? limit?.plainTokens ?? 0 : PROMPT_TOKENS + generation.events;
}

/** Sums the costs in the window that ends with each use; uses are sorted by time. */
function sumWindows(uses: readonly Use[], lengthMs: number): readonly Use[] {
    let sum = 0;
    let first = 0;
    return uses.map(({ atMs, cost }) => {
        sum += cost;
        for (let oldest = uses[first]; oldest !== undefined && oldest.atMs <= atMs - lengthMs; oldest = uses[first]) {
            sum -= oldest.cost;
            first += 1;
        }
        return { atMs, cost: sum };
    });
}
