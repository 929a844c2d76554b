import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { deepStrictEqual, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { RequestEnd } from "../applyAttempt.js";
import type { ClientRequest } from "../clientRequest.js";
import type { AccountPermit } from "./accountPermit.js";
import { runWithinLimit } from "./runWithinLimit.js";
import type { OverLimit } from "./runWithinLimit.js";

const LIMIT = { unit: "tokens", perSecond: 29_000, burst: 58_000, requestTokens: 900 } as const;
const ACCOUNT = { name: brandId("a"), keys: [], priority: undefined, limit: LIMIT };
const MARK = { from: brandId<HostId>("front-1"), sends: 0, tried: [], origin: undefined };
const CLIENT = { account: ACCOUNT, head: { tokens: undefined }, mark: undefined };
const REQUESTS: Readonly<Record<string, unknown>> = {
    "of a client": CLIENT,
    "of another host": { ...CLIENT, mark: MARK },
    "without a limit": { ...CLIENT, account: { ...ACCOUNT, limit: undefined } },
    "without account": { ...CLIENT, account: undefined },
};
const gaveUp = (outcome: string): unknown => ({ kind: "gave_up", outcome, reason: "refused", sends: 1, readyInMs: 0 });
const ENDS: Readonly<Record<string, unknown>> = {
    "an answer": { kind: "answer", result: { head: { isNotRun: false } } },
    "an answer of not run": { kind: "answer", result: { head: { isNotRun: true } } },
    "a stream": { kind: "relayed", result: {} },
    "not run": gaveUp("not_run"),
    "unknown": gaveUp("unknown"),
};

let charged = 0;
let returned = 0;
let sent = 0;
let end: RequestEnd | OverLimit | undefined;

async function run(from: string, permit: AccountPermit, endName: string): Promise<void> {
    [charged, returned, sent] = [0, 0, 0];
    const limits = {
        admit: () => {
            charged += 1;
            return Promise.resolve(permit);
        },
    };
    end = await runWithinLimit(REQUESTS[from] as ClientRequest, limits, () => {
        sent += 1;
        return endName === "a defect"
            ? Promise.reject(new Error("a defect"))
            : Promise.resolve(ENDS[endName] as RequestEnd);
    }).catch(() => undefined);
}

When(
    /^a request (.*) within its limit ends as (.*)$/,
    (from: string, endName: string) => run(from, { kind: "granted", giveBack: () => void (returned += 1) }, endName),
);

Then(
    "it has been charged {int} times and its cost returned {int} times",
    (chargedCount: number, returnedCount: number) =>
        deepStrictEqual([charged, returned, sent], [chargedCount, returnedCount, 1]),
);

When(
    "a request of a client beyond its limit arrives",
    () => run("of a client", { kind: "refused", readyInMs: 700, basis: {} as never }, "an answer"),
);

Then("it is refused for {int} ms and has not been sent", (readyInMs: number) => {
    strictEqual(end?.kind === "over_limit" && end.permit.readyInMs, readyInMs);
    strictEqual(sent, 0);
});
