import type { ServingConfig } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { brandId, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { ServiceName } from "@fulmarcleat/ids";
import { After, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { createClientHandler } from "./createClientHandler.js";
import type { ClusterView } from "./createClusterView.js";
import { createLoopTurns } from "./createLoopTurns.js";
import type { LoopTurns } from "./createLoopTurns.js";
import type { FrontContext } from "./frontContext.js";

const LOCAL = "127.0.0.1";
const SERVICE = brandId<ServiceName>("plain");
/** Time in which a host that is not busy has read and handed on all requests, in milliseconds. */
const SETTLE_MS = 300;
/** Time in which the kernel has taken the clients' bytes, in milliseconds. */
const SEND_MS = 50;

let server: Server | undefined;
let turns: LoopTurns | undefined;
let sockets: Socket[] = [];
let handedOn = 0;
let port = 0;

Given("a host that hands on the requests of clients", async () => {
    handedOn = 0;
    const route = {
        hostName: LOCAL,
        pathPrefix: "/",
        kind: "safe",
        timeoutMs: 5000,
        targets: [{ service: SERVICE, weight: 1 }],
    };
    const config = {
        routes: [route],
        services: new Map([[SERVICE, { name: SERVICE }]]),
        limits: { bodyBytes: 1000 },
    } as unknown as ServingConfig;
    const clock = createSystemClock();
    const context = {
        clock,
        random: createRandom(1),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: () => undefined },
        readBounds: () => ({ configApplyMs: 3000 }),
    } as unknown as FrontContext;
    const view = { config, readAgeMs: () => 0 } as unknown as ClusterView;
    const end = { kind: "gave_up", outcome: "not_run", reason: "refused", sends: 0, readyInMs: 0 } as const;
    const runner = {
        run(request: { readonly signal: AbortSignal }) {
            handedOn += request.signal.aborted ? 0 : 1;
            return Promise.resolve(end);
        },
    };
    turns = createLoopTurns(clock, setImmediate);
    const handler = createClientHandler(context, view, runner, () => undefined, () => undefined, turns, {
        admit: () => Promise.resolve({ kind: "unlimited" }),
    });
    server = createServer((req, res) => handler.handle(req, res));
    port = await listen(server, { host: LOCAL, port: 0 });
});

After(() => {
    turns?.stop();
    sockets.forEach(socket => socket.destroy());
    sockets = [];
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});

When(
    /^(\d+) clients send requests and (leave|stay), and the host is busy for (\d+) ms before it reads them$/,
    async (count: string, then: string, busyMs: string) => {
        sockets = Array.from({ length: Number(count) }, () => connect({ host: LOCAL, port }));
        await Promise.all(sockets.map(socket => once(socket, "connect")));
        await setTimeout(SEND_MS);
        sockets.forEach((socket, at) => {
            socket.write(`GET / HTTP/1.1\r\nHost: ${LOCAL}\r\nRequest-Id: r${at}\r\n\r\n`);
            if (then === "leave") {
                socket.end();
            }
        });
        const untilMs = performance.now() + Number(busyMs);
        while (performance.now() < untilMs) {
            // Keeps the event loop from reading what has arrived.
        }
        await setTimeout(SETTLE_MS);
    },
);

Then("it hands on {int} of them", (count: number) => strictEqual(handedOn, count));

let nowMs = 0;
let pending: (() => void) | undefined;

Given("a loop whose check is due in 50 ms", () => {
    nowMs = 0;
    const clock = {
        nowMs: () => nowMs,
        wallMs: () => nowMs,
        setTimer(delayMs: number, fire: () => void) {
            pending = fire;
            return () => undefined;
        },
    };
    turns = createLoopTurns(clock, () => undefined);
});

/** Lets time pass with a check at each interval. */
function passOnTime(ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += CHECK_MS) {
        nowMs += Math.min(CHECK_MS, ms - passedMs);
        pending?.();
    }
}

/** Interval of the checks, in milliseconds. */
const CHECK_MS = 50;

When(/^(\d+) ms pass in which the check (.*)$/, (ms: string, fires: string) => {
    if (fires === "fires on time") {
        passOnTime(Number(ms));
        return;
    }
    nowMs += Number(ms);
    if (fires === "fires late") {
        pending?.();
    }
});

Then("the loop counts as {}", (state: string) => strictEqual(turns?.isBehind(), state === "behind"));

Then("{int} ms later, with checks on time, it counts as {}", (ms: number, state: string) => {
    passOnTime(ms);
    strictEqual(turns?.isBehind(), state === "behind");
});
