import type { ServingConfig } from "@fulmarcleat/directory";
import type { Outcome } from "@fulmarcleat/errors";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { brandId, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { HostId, ServiceName } from "@fulmarcleat/ids";
import { OUTCOME_HEADER } from "@fulmarcleat/platform";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createClientHandler } from "./createClientHandler.js";
import type { ClusterView } from "./createClusterView.js";
import { SENDS_HEADER } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import type { RequestRunner } from "./runRequest.js";

const LOCAL = "127.0.0.1";
const MARK = { from: brandId<HostId>("front-1"), sends: 0, tried: [], origin: undefined };
const SERVICE = brandId<ServiceName>("plain");
const BODY = "body";
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

/** Starts the host that serves requests for another one. */
async function start(
    bodyBytes: number,
    run: RequestRunner["run"],
    { viewAgeMs, configApplyMs } = { viewAgeMs: 0, configApplyMs: 2000 },
): Promise<void> {
    const config = {
        routes: [ROUTE],
        services: new Map([[SERVICE, { name: SERVICE }]]),
        limits: { bodyBytes },
    } as unknown as ServingConfig;
    const context = {
        clock: createSystemClock(),
        random: createRandom(1),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: () => undefined },
        readBounds: () => ({ configApplyMs }),
    } as unknown as FrontContext;
    const view = { config, readAgeMs: () => viewAgeMs } as unknown as ClusterView;
    const handler = createClientHandler(context, view, { run }, () => undefined, () => undefined, {
        isBehind: () => false,
        readArrived: () => Promise.resolve(),
    });
    server = createServer((req, res) => handler.handle(req, res, MARK));
    port = await listen(server, { host: LOCAL, port: 0 });
}

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
