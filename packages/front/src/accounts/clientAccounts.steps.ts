import type {
    AnswerSink,
    ClientAccount,
    EngineExchange,
    EngineRequest,
    KnownEngine,
    ServingConfig,
} from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import type { Metrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { brandId, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { AccountName, EngineId, HostId, ServiceName } from "@fulmarcleat/ids";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { once } from "node:events";
import { Agent, createServer, request } from "node:http";
import type { ClientRequest as HttpRequest, IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { NO_ATTEMPTS } from "../applyAttempt.js";
import type { ClientRequest } from "../clientRequest.js";
import { createClientHandler } from "../createClientHandler.js";
import type { ClientHandler } from "../createClientHandler.js";
import type { ClusterView } from "../createClusterView.js";
import { createEngineClosures } from "../createEngineClosures.js";
import { createEngineLimits } from "../createEngineLimits.js";
import { createEngineLoadTracker } from "../createEngineLoadTracker.js";
import { createEnginePreparer } from "../createEnginePreparer.js";
import { createForwarder } from "../createForwarder.js";
import type { Quarantine } from "../createQuarantine.js";
import type { StreamOrigins } from "../createStreamOrigins.js";
import { NO_LOST_PATHS } from "../enginePaths.js";
import type { ForwardMark } from "../forwardMark.js";
import type { FrontContext } from "../frontContext.js";
import { createRequestRunner } from "../runRequest.js";
import type { AdapterTracker } from "../startAdapterTracker.js";

const LOCAL = "127.0.0.1";
const SERVICE = brandId<ServiceName>("models");
const ENGINE = brandId<EngineId>("i-1");
const NO_EXCHANGE: EngineExchange = { cancel: () => undefined, resume: () => undefined };
const QUARANTINE = { find: () => undefined, findAtSend: () => undefined, recordAnswer: () => undefined };
const ADAPTERS = {
    startRequest: () => undefined,
    finishRequest: () => undefined,
    find: () => ({ kind: "present" }),
    refresh: () => Promise.resolve(false),
    countLoad: () => undefined,
    countQueuedTokens: () => undefined,
} as unknown as AdapterTracker;
/** Routes by their paths; the priority of both is 5. */
const ROUTES = ["usual", "open"].map(name => ({
    name,
    hostName: LOCAL,
    pathPrefix: `/${name}/`,
    kind: "unsafe",
    timeoutMs: 4000,
    goalMs: 800,
    priority: 5,
    maxEngines: 1,
    isResumable: false,
    isAnonymous: name === "open",
    targets: [{ service: SERVICE, weight: 1 }],
}));
/** Time in which a part of a request is read, in milliseconds. */
const READ_MS = 50;

interface LoggedEvent {
    readonly event: number;
    readonly fields: Readonly<Record<string, unknown>>;
}

let config: ServingConfig | undefined;
let viewAgeMs = 0;
let bounds = { configApplyMs: 3000, refusesUnconfirmedKeys: false, keyConfirmMs: 5000 };
let reachesEngine = true;
let mark: ForwardMark | undefined;
let handler: ClientHandler;
let server: Server | undefined;
let port = 0;
let agent: Agent;
let sockets: Set<Socket>;
let metrics: Metrics;
let events: LoggedEvent[] = [];
let sent: EngineRequest[] = [];
let acquired: number[] = [];
let marks: ForwardMark[] = [];
let answer: { readonly status: number; readonly retryAfter: string | undefined; readonly text: string };
let held: HttpRequest;

/** Creates a configuration with the accounts of a text like "a:k1,k2:0 b:k3", name, keys and priority. */
function createConfig(text: string): ServingConfig {
    const accounts = text.split(" ").filter(part => part !== "").map((part): ClientAccount => {
        const [name = "", keys = "", priority] = part.split(":");
        return {
            name: brandId(name),
            keys: keys.split(",").map(key => brandId(key)),
            priority: priority === undefined ? undefined : Number(priority),
            limit: undefined,
        };
    });
    return {
        version: 1,
        routes: ROUTES,
        services: new Map([[SERVICE, { name: SERVICE, maxConnections: 10, engine: {} }]]),
        limits: { bodyBytes: 100 },
        accounts: text === "none" ? undefined : new Map(accounts.map(account => [account.name, account])),
    } as unknown as ServingConfig;
}

async function start(accounts: string): Promise<void> {
    config = accounts === "unknown" ? undefined : createConfig(accounts);
    viewAgeMs = 0;
    bounds = { configApplyMs: 3000, refusesUnconfirmedKeys: false, keyConfirmMs: 5000 };
    reachesEngine = true;
    mark = undefined;
    events = [];
    sent = [];
    acquired = [];
    marks = [];
    sockets = new Set();
    metrics = createMetrics();
    agent = new Agent({ keepAlive: true, maxSockets: 1 });
    handler = await createHost();
    server = createServer((req, res) => handler.handle(req, res, mark));
    port = await listen(server, { host: LOCAL, port: 0 });
}

/** Creates the host's handler with an engine and a helping host that answer at once. */
async function createHost(): Promise<ClientHandler> {
    const respond = (req: EngineRequest, sink: AnswerSink): EngineExchange => {
        sent.push(req);
        queueMicrotask(() => {
            sink.head({
                status: 200,
                framing: "length",
                headers: [],
                requestId: req.requestId,
                isNotRun: false,
                load: undefined,
                limit: { kind: "none" },
                instance: undefined,
                notice: undefined,
            });
            sink.end();
        });
        return NO_EXCHANGE;
    };
    const context = {
        clock: createSystemClock(),
        random: createRandom(1),
        hash: await createHasher(),
        metrics,
        log: { write: (level: string, event: number, fields: LoggedEvent["fields"]) => events.push({ event, fields }) },
        deployment: { host: "front-1", domain: "a" },
        readBounds: () => ({ ...bounds, retryRatio: 1, retryReserve: 12, retryWindowMs: 1000 }),
        transport: { send: respond },
    } as unknown as FrontContext;
    const entry = { id: ENGINE, service: SERVICE, address: { ip: LOCAL, port: 1 }, slots: 8 };
    const view = {
        get config() {
            return config;
        },
        engines: new Map([[ENGINE, { entry, isUsable: true } as unknown as KnownEngine]]),
        members: new Map(),
        readAgeMs: () => viewAgeMs,
        findRelease: () => undefined,
        onEngineRemoved: () => undefined,
    } as unknown as ClusterView;
    const limits = createEngineLimits(context, view, () => undefined);
    const helper = { host: brandId<HostId>("front-2"), ip: LOCAL, port: 1, domain: "a", forwardPort: 2 };
    const paths = {
        ...NO_LOST_PATHS,
        isServiceSilent: () => !reachesEngine,
        findHelper: () => Promise.resolve(helper),
    } as unknown as typeof NO_LOST_PATHS;
    const closures = createEngineClosures(context, view);
    const forwardTransport = {
        send(req: EngineRequest, stated: ForwardMark, sink: AnswerSink) {
            marks.push(stated);
            return respond(req, sink);
        },
    };
    const runner = createRequestRunner(
        context,
        view,
        createEngineLoadTracker(context.clock),
        ADAPTERS,
        {} as StreamOrigins,
        QUARANTINE as unknown as Quarantine,
        {
            ...limits,
            acquire(known, priority, permit) {
                acquired.push(priority);
                return limits.acquire(known, priority, permit);
            },
        },
        paths,
        closures,
        createForwarder(context, forwardTransport, closures),
    );
    return createClientHandler(context, view, runner, () => undefined, () => undefined, {
        isBehind: () => false,
        readArrived: () => Promise.resolve(),
    }, { admit: () => Promise.resolve({ kind: "unlimited" }) });
}

After(() => {
    (agent as Agent | undefined)?.destroy();
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});

/** Opens a request with the headers of a text like "Credential k1, Tenant x". */
function open(headers: string, path: string, length: number): HttpRequest {
    const named = headers.split(", ").filter(header => header !== "").flatMap(header => header.split(" "));
    const raw = ["Host", LOCAL, "Request-Id", "r1", "Content-Length", String(length), ...named];
    const req = request({ host: LOCAL, port, agent, method: "POST", path, headers: raw });
    req.on("socket", socket => void sockets.add(socket));
    return req;
}

async function receive(req: HttpRequest): Promise<void> {
    const [res] = await once(req, "response") as [IncomingMessage];
    let text = "";
    for await (const bytes of res) {
        text += String(bytes);
    }
    answer = { status: res.statusCode ?? 0, retryAfter: res.headers["retry-after"], text };
}

async function send(headers: string, path: string): Promise<void> {
    const req = open(headers, path, 0);
    req.end();
    await receive(req);
}

Given("a host with the accounts {string}", start);

Given("its configuration was confirmed {int} ms ago", (ageMs: number) => void (viewAgeMs = ageMs));

Given("keys must have been confirmed within {int} ms", (keyConfirmMs: number) => {
    bounds = { ...bounds, refusesUnconfirmedKeys: true, keyConfirmMs };
});

Given("it reaches no engine, but another host", () => void (reachesEngine = false));

Given(
    /^another host hands requests over, which states (?:the account "(.*)"|no account)$/,
    (name?: string) => {
        const account = name === undefined ? {} : { account: brandId<AccountName>(name) };
        mark = { from: brandId("front-2"), sends: 0, ...account, tried: [], origin: undefined };
    },
);

When(/^a request with the headers "(.*)" arrives for "(.*)"$/, send);

When("the accounts become {string}", (accounts: string) => void (config = createConfig(accounts)));

When(
    "the beginning of a request with the headers {string} arrives for {string}",
    async (headers: string, path: string) => {
        held = open(headers, path, 4);
        held.write("be");
        await setTimeout(READ_MS);
    },
);

When("its end arrives", async () => {
    held.end("en");
    await receive(held);
});

Then("the account's client gets {int}", (status: number) => strictEqual(answer.status, status));

Then("the refusal says {string}, and when to return: {string}", (code: string, returns: string) => {
    deepStrictEqual(JSON.parse(answer.text), { error: { code, outcome: "not_run" } });
    strictEqual(answer.retryAfter ?? "never", returns);
});

Then("nothing has been sent to an engine or another host", () => deepStrictEqual(sent, []));

Then(
    /^what is sent states the account "(.*)", urgency (\w+) and the client's headers "(.*)"$/,
    (account: string, urgency: string, headers: string) => {
        const [req] = sent.slice(-1);
        ok(req !== undefined);
        const own = ["host", "request-id"];
        const names = req.headers.map((text, at) => at % 2 === 0 ? text.toLowerCase() : own[0]);
        const others = req.headers.filter((text, at) => !own.includes(names[at - at % 2] ?? ""));
        deepStrictEqual([req.account ?? "none", String(req.urgency ?? "none"), others.join(" ")], [
            account,
            urgency,
            headers,
        ]);
    },
);

Then("permits have been asked for at priority {int}", (priority: number) => {
    ok(acquired.length > 0);
    deepStrictEqual([...new Set(acquired)], [priority]);
});

Then("the other host is told of the account {string}", (account: string) => {
    deepStrictEqual(marks.map(stated => stated.account ?? "none"), [account]);
});

Then("all requests came on one connection", () => strictEqual(sockets.size, 1));

Then("the log lines {string} name the account {string}", (numbers: string, account: string) => {
    const named = events.filter(({ fields }) => fields["account"] === account).map(({ event }) => event);
    strictEqual(named.join(" "), numbers);
});

Then("no log line, counter or sent request holds {string}", async (key: string) => {
    ok(events.length > 0 && sent.length > 0);
    ok(!JSON.stringify([events, sent, marks]).includes(key));
    ok(!(await metrics.expose()).includes(key));
});

Then(
    "refusals of the account {string} as {string} are counted {int} times",
    (account: string, reason: string, count: number) => {
        strictEqual(metrics.read("account_refusals_total", { account, reason }), count);
    },
);

Then("no counter or log line names an account", async () => {
    ok(!(await metrics.expose()).includes("account"));
    deepStrictEqual(events.filter(({ fields }) => fields["account"] !== undefined), []);
});

Then(
    /^a request of priority (\d+) on a route of priority (\d+) that would wait long is (shed|sent)$/,
    async (priority: string, routePriority: string, result: string) => {
        const clock = createSystemClock();
        const nowMs = clock.nowMs();
        const known = { entry: { id: ENGINE, service: SERVICE } } as unknown as KnownEngine;
        const context = { clock, metrics: createMetrics(), log: { write: () => undefined } };
        const preparer = createEnginePreparer(
            context as unknown as FrontContext,
            // The wait is over 1.5 times the goal and below the limit of urgent requests.
            { list: () => [known], choose: () => Promise.resolve({ known, expectedMs: 1300 }) },
            ADAPTERS,
            createEngineLimits({ ...context, deployment: { host: "front-1" } } as unknown as FrontContext, {
                members: new Map(),
                onEngineRemoved: () => undefined,
            }, () => undefined),
            { bookReturn: () => undefined },
        );
        const prepared = await preparer.prepare(
            {
                service: { name: SERVICE, engine: {} },
                route: { maxEngines: 1, goalMs: 800, priority: Number(routePriority) },
                priority: Number(priority),
                startedMs: nowMs,
                deadlineAtMs: nowMs + 60_000,
            } as unknown as ClientRequest,
            NO_ATTEMPTS,
            { unownedEngines: new Set(), refusedGrants: 0 },
            undefined,
        );
        strictEqual(prepared.kind === "over" ? "shed" : "sent", result);
    },
);
