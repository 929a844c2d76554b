// The store comes back from a copy that is some seconds old; afterwards the operator changes the config.
import { BROKEN, HELD, runCase, sleep } from "../lib/case.mjs";
import { createRequestId, sendRequest } from "../lib/client.mjs";
import { writeConfig } from "../lib/config.mjs";
import { startPlainEngine } from "../lib/engine.mjs";
import { BOUNDS, startFronts, waitUntilReady } from "../lib/front.mjs";
import { startStore } from "../lib/store.mjs";

const ZONES = ["wien-a", "wien-b", "linz-c"];
const HOST_NAME = "portal.example";
const FRONTS = 6;
const ENGINES_PER_SERVICE = 3;
/** Age of the copy that the store comes back from, in milliseconds. */
const COPY_AGE_MS = 8000;
const AWAY_MS = 1000;
/** Time in service before the drill, in milliseconds; the copy is of a time when all processes served. */
const CALM_MS = 10_000;
/** Time from the store's return to the change of the config; all machines are in touch again by then. */
const CHANGE_AFTER_MS = BOUNDS.contactMs + 200;
/** Time for which the config must be in force that is watched, in milliseconds. */
const WATCHED_MS = 20_000;
const SEND_INTERVAL_MS = 200;
/** Allowance for the clients' own clocks, in milliseconds. */
const MARGIN_MS = 100;

const services = [{ name: "portal-old" }, { name: "portal-new" }];
const createRoutes = service => [
    { name: "orders", host: HOST_NAME, pathPrefix: "/orders/", kind: "unsafe", timeoutMs: 800, goalMs: 150, service },
];

/** What was sent, answered and run. */
const RECORD_FILE = new URL("record.txt", import.meta.url);

await runCase(RECORD_FILE, async ({ record, closers, isTroubled }) => {
    const store = await startStore();
    closers.push(() => store.close());
    const runs = [];
    writeConfig(store, { version: 1, routes: createRoutes("portal-old"), services });
    for (const { name } of services) {
        for (let index = 0; index < ENGINES_PER_SERVICE; index += 1) {
            const zone = ZONES[index % ZONES.length];
            const engine = await startPlainEngine({ id: `i-${name}-${index}`, service: name, zone, store, runs });
            closers.push(() => engine.close());
        }
    }
    const fleet = await startFronts({ count: FRONTS, zones: ZONES, storePort: store.port });
    closers.push(() => fleet.close());
    await waitUntilReady(fleet.fronts, 15_000);
    record("ready", { fronts: FRONTS });

    const answers = [];
    let isSending = true;
    const sendAll = async front => {
        while (isSending) {
            const requestId = createRequestId();
            const answer = await sendRequest({
                port: front.port,
                method: "POST",
                path: "/orders/1",
                hostName: HOST_NAME,
                requestId,
                deadlineMs: 800,
                body: "order",
            });
            answers.push({ ...answer, front: front.name });
            await sleep(SEND_INTERVAL_MS);
        }
    };
    const sending = fleet.fronts.map(sendAll);
    await sleep(CALM_MS);
    if (isTroubled) {
        record("store-away", { revision: store.revision, era: store.era });
        const { formerRevision, revision } = await store.restore(COPY_AGE_MS, AWAY_MS);
        record("store-back", { formerRevision, revision, era: store.era });
    }
    else {
        await sleep(AWAY_MS);
    }
    await sleep(CHANGE_AFTER_MS);
    const revision = writeConfig(store, { version: 2, routes: createRoutes("portal-new"), services });
    const confirmedMs = performance.now();
    record("config-confirmed", { version: 2, revision });
    await sleep(BOUNDS.configApplyMs + WATCHED_MS);
    isSending = false;
    await Promise.all(sending);

    const runsById = new Map(runs.map(run => [run.requestId, run]));
    const boundMs = confirmedMs + BOUNDS.configApplyMs + MARGIN_MS;
    for (const { front, requestId, sentMs, status, seal } of answers) {
        const run = runsById.get(requestId);
        const afterConfirmationMs = Math.round(sentMs - confirmedMs);
        record("request", { front, requestId, afterConfirmationMs, status, seal, service: run?.service });
    }
    const due = answers.filter(({ sentMs }) => sentMs > boundMs);
    const served = due.filter(({ requestId }) => runsById.has(requestId));
    const late = served.filter(({ requestId }) => runsById.get(requestId).service === "portal-old");
    const lastMs = Math.max(0, ...late.map(({ sentMs }) => Math.round(sentMs - confirmedMs)));
    const fronts = new Set(late.map(({ front }) => front));
    for (const { name, exits } of fleet.fronts) {
        record("front", { name, exits: exits.length, late: late.filter(({ front }) => front === name).length });
    }
    if (served.length === 0) {
        throw new Error("no request was served after the bound");
    }
    return late.length > 0
        ? {
            code: BROKEN,
            reason: `CONFIG: ${late.length} of ${served.length} requests that were sent later than `
                + `${BOUNDS.configApplyMs} ms after the confirmation were run by the old service, by ${fronts.size} of `
                + `${FRONTS} fronts, the last one sent ${lastMs} ms after it`,
        }
        : { code: HELD, reason: `all ${served.length} requests after the bound were run by the new service` };
});
