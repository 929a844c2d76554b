// Measures, in a fleet in memory, what engines that name a limit get from all hosts together. Requires node --import tsx.
import { createFrontFleet } from "../packages/front/src/createFrontFleet.steps.ts";
import { parseFleetFaults } from "../packages/front/src/parseFleetFaults.steps.ts";

/** Time for which requests come before engines name limits, in milliseconds. */
const LEAD_MS = 5000;
/** Time for which requests come from then on, in milliseconds. */
const LENGTH_MS = 30_000;
/** Time from which a limit binds, in milliseconds. */
const CONTACT_MS = 3000;
/** Time from which the share of the limit that is used is counted, in milliseconds. */
const STEADY_MS = 5000;
/** Span over which requests are counted, in milliseconds. */
const WINDOW_MS = 4000;
const MS_PER_S = 1000;
const SEEDS = [1, 2];

const [hosts = "8", limited = "1", perSecond = "1", requestsPerS = "25", faults = "messages all arrive"] = process.argv
    .slice(2);

for (const seed of SEEDS) {
    const options = { hosts: Number(hosts), requestsPerS: Number(requestsPerS), seed, ...parseFleetFaults(faults) };
    const fleet = await createFrontFleet(options);
    await fleet.play(LEAD_MS, 0);
    if (faults === "store falls silent") {
        fleet.store.setMode("silent");
    }
    const namedMs = fleet.clock.nowMs();
    fleet.setLimit({ engines: Number(limited), perSecond: Number(perSecond) });
    await fleet.play(LENGTH_MS, 0);
    for (const engine of fleet.engineIds.slice(0, Number(limited))) {
        const times = fleet.arrivals.filter(arrival => arrival.engine === engine).map(({ atMs }) => atMs - namedMs);
        const ends = [CONTACT_MS, ...times.filter(atMs => atMs > CONTACT_MS)];
        const most = Math.max(
            ...ends.map(endMs => times.filter(atMs => atMs > endMs - WINDOW_MS && atMs <= endMs).length),
        );
        const rate = times.filter(atMs => atMs > STEADY_MS).length * MS_PER_S / (LENGTH_MS - STEADY_MS);
        console.log(
            `seed ${seed}, ${engine}: at most ${most} requests in 4 s, ${rate.toFixed(2)} a second from 5 s on`,
        );
    }
    const refused = fleet.requests.filter(({ refusal }) => refusal === "limited").length;
    console.log(`seed ${seed}: ${refused} of ${fleet.requests.length} requests refused as limited`);
}
