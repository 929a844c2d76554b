import type { StandinAccount, StandinRun } from "@fulmarcleat/platform-standin";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { checkAccounts } from "./checkAccounts.js";
import { createKeyHistory } from "./createKeyHistory.js";
import type { KeyHistory } from "./createKeyHistory.js";
import type { SoakAnswer } from "./sendRequest.js";

const MS_PER_S = 1000;
const LIMIT = { perSecond: 10_000, burst: 5000, plainTokens: 1000 };

let history: KeyHistory;
let violations: readonly string[] = [];

Given(
    "the store held accounts {string} at {int} s, {string} at {int} s and {string} at {int} s",
    (first: string, firstS: number, second: string, secondS: number, third: string, thirdS: number) => {
        history = createKeyHistory();
        history.record(parseAccounts(first), firstS * MS_PER_S);
        history.record(parseAccounts(second), secondS * MS_PER_S);
        history.record(parseAccounts(third), thirdS * MS_PER_S);
    },
);

When(
    /^a client sends (?:the key (\w+)|no key|an (open) request)(?: amid (faults|3 s of them))? at (\d+) s, and it (?:runs for (\w+)( with key)?|gets (\d+)( and runs)?)$/,
    (
        apiKey: string | null,
        open: string | null,
        faults: string | null,
        sent: string,
        account: string | null,
        withKey: string | null,
        status: string | null,
        andRuns: string | null,
    ) => {
        const configAgeMs = faults === null ? 0 : faults === "faults" ? Infinity : 3 * MS_PER_S;
        const answer = createAnswer("r1", apiKey ?? undefined, Number(sent) * MS_PER_S, Number(status ?? 200));
        const run = createRun("r1", account ?? "a", answer.sentAtMs);
        const req = { ...answer.req, isAnonymous: open !== null, configAgeMs };
        const runs = account === null && andRuns === null ? [] : [{ ...run, hasKey: withKey !== null }];
        violations = checkAccounts([{ ...answer, req }], runs, history);
    },
);

When(
    "{int} requests with the key k2 come from {int} to {int} s, and every tenth gets status {int}",
    (requests: number, fromS: number, toS: number, status: number) => {
        const answers = Array.from({ length: requests }, (value, index) => {
            const atMs = (fromS + (toS - fromS) * index / requests) * MS_PER_S;
            return createAnswer(`r${index}`, "k2", atMs, index % 10 === 9 ? status : 200);
        });
        const served = answers.filter(answer => answer.status === 200);
        // A second run of a request costs nothing.
        const runs = served.flatMap(({ req, sentAtMs }) => [
            createRun(req.id, "b", sentAtMs),
            createRun(req.id, "b", sentAtMs),
        ]);
        violations = checkAccounts(answers, runs, history);
    },
);

Then("the check of accounts reports {string}", (codes: string) => {
    const reported = [...new Set(violations.map(line => line.split(" ")[0]))];
    strictEqual(reported.join(" "), codes, violations.join("\n"));
});

/** Creates the accounts of a text like "a:k1,k2 b:k3"; only `a` has no limit. */
function parseAccounts(text: string): readonly StandinAccount[] {
    return text.split(" ").map(part => {
        const [name, keys] = part.split(":");
        ok(name !== undefined && keys !== undefined);
        return { name, keys: keys.split(","), limit: name === "a" ? undefined : LIMIT };
    });
}

function createAnswer(id: string, apiKey: string | undefined, sentAtMs: number, status: number): SoakAnswer {
    return {
        req: { id, kind: "safe", hostName: "h", deadlineMs: 1000, path: "/p/", body: "", minVersion: 0, apiKey },
        host: "front-0",
        sentAtMs,
        endedAtMs: sentAtMs + 10,
        status,
        isComplete: true,
        hasSignature: status === 200,
        text: "",
    };
}

function createRun(requestId: string, account: string, startedAtMs: number): StandinRun {
    return {
        requestId,
        engine: "i-1",
        path: "/p/",
        adapter: undefined,
        version: undefined,
        account: account === "none" ? undefined : account,
        hasKey: false,
        startedAtMs,
    };
}
