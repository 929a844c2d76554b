import type { ServingConfig } from "@fulmarcleat/directory";
import type { Outcome } from "@fulmarcleat/errors";
import { createMetrics } from "@fulmarcleat/events";
import type { EventFields } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { brandId, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { AccountName, ApiKey, HostId, ServiceName } from "@fulmarcleat/ids";
import { OUTCOME_HEADER } from "@fulmarcleat/platform";
import { After, deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { setTimeout } from "node:timers/promises";
import type { AccountPermit } from "./accounts/accountPermit.js";
import { createClientHandler } from "./createClientHandler.js";
import type { ClientHandler, StopMoments } from "./createClientHandler.js";
import type { ClusterView } from "./createClusterView.js";
import { SENDS_HEADER } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import type { RequestRunner } from "./runRequest.js";

const LOCAL = "127.0.0.1";
const MARK = { from: brandId<HostId>("front-1"), sends: 0, tried: [], origin: undefined };
const SERVICE = brandId<ServiceName>("plain");
const BODY = "body";
const LIMIT = { unit: "tokens", perSecond: 29_000, burst: 58_000, requestTokens: 900 } as const;
const ROUTE = {
    hostName: LOCAL,
    pathPrefix: "/",
    kind: "unsafe",
    timeoutMs: 1000,
    targets: [{ service: SERVICE, weight: 1 }],
};

let server: Server | undefined;
let port = 0;
let answer: Response;

Given(
    /^a host that serves a request for another host, which fails (while its body is read|after an engine may have begun)$/,
    async (when: string) => {
        const bodyBytes = when.startsWith("while") ? BODY.length - 1 : BODY.length;
        await start(bodyBytes, () => Promise.reject(new Error("a defect")));
    },
);

Given(
    /^a host that gives a request of another host up, (not_run|unknown) after (\d+) sends$/,
    async (outcome: Outcome, sends: string) => {
        const end = { kind: "gave_up", outcome, reason: "refused", sends: Number(sends), readyInMs: 0 } as const;
        await start(BODY.length, () => Promise.resolve(end));
    },
);

Given(
    "a host whose configuration must be in force within {int} ms, and was confirmed {int} ms ago",
    (configApplyMs: number, viewAgeMs: number) =>
        start(BODY.length, () => Promise.reject(new Error("not reached")), { viewAgeMs, configApplyMs }),
);

When("a request for another route arrives", async () => {
    // The route's host name is the address.
    answer = await fetch(`http://localhost:${port}/`, { headers: { "request-id": "r1" } });
});

Then("the client gets {int}", (status: number) => strictEqual(answer.status, status));

Given(
    "a host that stops since {int} ms, for {int} ms more, and an engine that answers nothing",
    async (sinceMs: number, untilMs: number) => {
        // An engine that answers nothing holds the request until its deadline.
        await start(BODY.length, request => {
            request.times.sentMs = request.startedMs;
            return new Promise(resolve =>
                request.signal.addEventListener(
                    "abort",
                    () => resolve({ kind: "gave_up", outcome: "unknown", reason: "ended", sends: 1, readyInMs: 0 }),
                )
            );
        });
        const nowMs = performance.now();
        stop = { beganMs: nowMs - sinceMs, endsMs: nowMs + untilMs };
    },
);

Given(
    /^a host that is not stopping, and no engine for .*$/,
    () => start(BODY.length, () => new Promise(() => undefined)),
);

When(/^(an unsafe request|a safe request|a stream) with (\d+) ms left arrives$/, (kind: string, leftMs: string) => {
    const name = kind === "a stream" ? "streaming" : kind.split(" ")[1];
    const headers = { "request-id": "r1", "deadline-ms": leftMs };
    pending = fetch(`http://${LOCAL}:${port}/${name}/`, { method: "POST", headers, body: BODY });
});

When("the host refuses what waits at the end of its stop", async () => {
    while (handler?.running === 0) {
        await setTimeout(1);
    }
    // The body has been read by then.
    await setTimeout(WAIT_MS);
    handler?.refuseWaiting();
});

Then("within {int} ms the client gets {int}", async (ms: number, status: number) => {
    const late = setTimeout(ms).then(() => undefined);
    strictEqual((await Promise.race([pending, late]))?.status, status);
});

/** Time in which a request is read, in milliseconds. */
const WAIT_MS = 100;
let stop: StopMoments | undefined;
let handler: ClientHandler | undefined;
let pending: Promise<Response>;

/** Starts the host that serves requests for another one, or for a client if `permit` says what its account may use. */
async function start(
    bodyBytes: number,
    run: RequestRunner["run"],
    { viewAgeMs, configApplyMs } = { viewAgeMs: 0, configApplyMs: 2000 },
    permit?: AccountPermit,
): Promise<void> {
    const account = { name: brandId<AccountName>("a"), keys: [brandId<ApiKey>("k1")], priority: 0, limit: LIMIT };
    const config = {
        accounts: permit === undefined ? undefined : new Map([[account.name, account]]),
        routes: [
            ROUTE,
            ...["unsafe", "safe", "streaming"].map(kind => ({
                ...ROUTE,
                kind,
                pathPrefix: `/${kind}/`,
                timeoutMs: 15_000,
            })),
        ],
        services: new Map([[SERVICE, { name: SERVICE }]]),
        limits: { bodyBytes },
    } as unknown as ServingConfig;
    const context = {
        clock: createSystemClock(),
        random: createRandom(1),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: (level: string, event: number, fields: EventFields) => void logged.push({ event, ...fields }) },
        readBounds: () => ({ configApplyMs }),
    } as unknown as FrontContext;
    const view = { config, readAgeMs: () => viewAgeMs } as unknown as ClusterView;
    stop = undefined;
    logged = [];
    const started = createClientHandler(context, view, { run }, () => stop, () => undefined, {
        isBehind: () => false,
        readArrived: () => Promise.resolve(),
    }, { admit: () => Promise.resolve(permit ?? { kind: "unlimited" }) });
    handler = started;
    server = createServer((req, res) => started.handle(req, res, permit === undefined ? MARK : undefined));
    port = await listen(server, { host: LOCAL, port: 0 });
}

let logged: (EventFields & { readonly event: number })[] = [];

Given("a host at which an account has used up its limit for {int} ms", (readyInMs: number) => {
    const basis = {
        account: "a",
        cost: 5000,
        used: 290_000,
        limit: 29_000,
        burst: 58_000,
        decidedBy: "granter",
    } as const;
    const permit = { kind: "refused", readyInMs, basis } as const;
    return start(BODY.length, () => Promise.reject(new Error("not reached")), undefined, permit);
});

When("a request with a key of the account and {int} ms left arrives", async (leftMs: number) => {
    const headers = { "request-id": "r1", "credential": "k1", "deadline-ms": String(leftMs) };
    answer = await fetch(`http://${LOCAL}:${port}/unsafe/`, { method: "POST", headers, body: BODY });
});

Then(
    "the client gets {int} as {word}, to return after {float} s",
    async (status: number, reason: string, afterS: number) => {
        strictEqual(answer.status, status);
        strictEqual(Number(answer.headers.get("retry-after")), afterS);
        deepStrictEqual(await answer.json(), { error: { code: reason, outcome: "not_run" } });
    },
);

Then("the log states the account, the cost, the use and the limit", () => {
    const { event, account, cost, used, limit, burst } = logged[0] ?? { event: 0 };
    deepStrictEqual([event, account, cost, used, limit, burst], [400, "a", 5000, 290_000, 29_000, 58_000]);
});

After(() => {
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});

When("the request arrives", async () => {
    const headers = { "request-id": "r1" };
    answer = await fetch(`http://${LOCAL}:${port}/`, { method: "POST", headers, body: BODY });
});

Then(/^the other host gets (\d+), as (not_run|unknown)$/, (status: string, outcome: string) => {
    strictEqual(answer.status, Number(status));
    strictEqual(answer.headers.get(OUTCOME_HEADER), outcome);
});

Then("it is told of {string} sends", (stated: string) => {
    strictEqual(answer.headers.get(SENDS_HEADER) ?? "none", stated);
});
