// All front processes are killed while the store is down and two software versions serve; see claim.txt.
import { writeConfig } from "@fulmarcleat/platform-standin";
import { createClient } from "../lib-2/clients.mjs";
import { runCase } from "../lib-2/case.mjs";
import { startEngine } from "../lib-2/engine.mjs";
import { BOUNDS, clock, createStoreStandin, startFront, wait, waitUntilReady } from "../lib-2/fleet.mjs";

const HOST = "reports.example";
const ZONES = ["a", "b", "c"];
const STREAMS = 24;
const EVENTS = 500;
const BUDGET_MS = 15_000;
const SETTLE_MS = 6000;
/** Times of one outage of the store, in milliseconds since its begin. */
const OUTAGE = { streamsMs: 2000, killMs: 4300, endMs: 4500 };
const TRY_EVERY_MS = 500;
/** The rule judges 12 streams or more. */
const MIN_STREAMS = 12;

await runCase(new URL("record.txt", import.meta.url).pathname, async ({ record, folder, hasTrouble, onClose }) => {
    const store = await createStoreStandin(clock);
    writeConfig(store, {
        version: 1,
        routes: [{ name: "answers", kind: "streaming", pathPrefix: "/answers/", service: "models", timeoutMs: BUDGET_MS, hostName: HOST }],
        plainService: "portal", modelService: "models", model: "base", adapterSlots: 8,
    });
    for (let at = 0; at < 6; at += 1) {
        await startEngine({ id: `m-${at}`, service: "models", zone: ZONES[at % 3], store, slots: 64, adapterSlots: 8,
            version: at % 2 === 0 ? "v1" : "v2" });
    }
    const fronts = [];
    for (const [at, zone] of ZONES.entries()) {
        const front = await startFront({ name: `front-${at}`, zone, zones: ZONES, storePort: store.port, folder, record });
        onClose(front.close);
        fronts.push(front);
    }
    await Promise.all(fronts.map(front => waitUntilReady(front)));
    let sent = 0;
    const send = (front, options) => {
        const client = createClient(() => front.client, HOST);
        const adapter = `a${1 + sent % 6}`;
        return client.send({
            method: "POST", path: `/answers/${sent += 1}`, body: "q", deadlineMs: BUDGET_MS,
            generation: { model: "base", adapter, events: EVENTS }, ...options,
        }).finally(() => client.close());
    };
    const readLastEvent = text => [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
    // The adapters are loaded, and both versions are known, before anything happens.
    await Promise.all(fronts.flatMap(front => Array.from({ length: 6 }, () =>
        send(front, { generation: { model: "base", adapter: `a${1 + sent % 6}`, events: 5 } }))));
    await wait(SETTLE_MS);

    const outageMs = performance.now();
    const until = async ms => wait(Math.max(0, outageMs + ms - performance.now()));
    if (hasTrouble) {
        store.setMode("refusing");
        record("the store is down");
    }
    await until(OUTAGE.streamsMs);
    const begun = Array.from({ length: STREAMS }, (unused, at) => {
        const stop = new AbortController();
        return { startMs: performance.now(), stop, result: send(fronts[at % fronts.length], { signal: stop.signal }) };
    });
    await until(OUTAGE.killMs);
    if (hasTrouble) {
        fronts.forEach(front => front.signal("SIGKILL"));
        record("all front processes are killed");
    }
    begun.forEach(({ stop }) => stop.abort());
    await until(OUTAGE.endMs);
    store.setMode("serving");
    record("the store serves");
    const calmMs = performance.now();
    await Promise.all(fronts.map(front => waitUntilReady(front)));
    // From here on, all machines and the store have been without a disruption for `contactMs`.
    const inTouchMs = Math.max(performance.now(), calmMs) + BOUNDS.contactMs;
    record("all front processes are ready");

    const takeUp = async ({ startMs, result }, at) => {
        const { id, text, status } = await result;
        const lastEvent = readLastEvent(text);
        if (status !== 200 || lastEvent === undefined) {
            record(`${id} has not begun: ${status}`);
            return undefined;
        }
        let last;
        for (let tries = 0; performance.now() - startMs < BUDGET_MS - 1000; tries += 1) {
            const sentMs = performance.now();
            last = await send(fronts[(at + tries) % fronts.length], {
                deadlineMs: Math.round(BUDGET_MS - (sentMs - startMs)), headers: { "Resumes": id, "Last-Event-Id": lastEvent },
            });
            record(`${id} taken up after event ${lastEvent}: ${last.error ?? last.status} ${last.status === 200 ? "" : last.text}`);
            if (last.status === 200) {
                return { goesOn: true, isInTouch: sentMs >= inTouchMs };
            }
            await wait(TRY_EVERY_MS);
        }
        return { goesOn: false, isInTouch: performance.now() >= inTouchMs };
    };
    const beginNew = async () => {
        await wait(Math.max(0, inTouchMs - performance.now()));
        const results = await Promise.all(Array.from({ length: STREAMS }, (unused, at) =>
            send(fronts[at % fronts.length], { generation: { model: "base", adapter: `a${1 + at % 6}`, events: 5 } })));
        return results.filter(({ status }) => status === 200).length / STREAMS;
    };
    const [newShare, ...taken] = await Promise.all([beginNew(), ...begun.map(takeUp)]);
    // A stream that went on before the machines were in touch is counted as one that goes on.
    const judged = taken.filter(end => end !== undefined && (end.goesOn || end.isInTouch));
    const share = judged.filter(({ goesOn }) => goesOn).length / judged.length;
    if (judged.length < MIN_STREAMS) {
        throw new Error(`only ${judged.length} streams were taken up`);
    }
    return {
        isBroken: share < newShare / 2,
        summary: `${Math.round(share * 100)} in 100 of ${judged.length} streams taken up go on, ${Math.round(newShare * 100)} in 100 of the `
            + "new ones begin",
    };
});
