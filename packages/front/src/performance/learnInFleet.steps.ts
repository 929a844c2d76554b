import type { EngineEntry } from "@fulmarcleat/directory";
import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { MODEL_SERVICE, PLAIN_SERVICE } from "../createFleetRequest.steps.js";
import { createFrontFleet } from "../createFrontFleet.steps.js";
import type { FrontFleet } from "../frontFleet.steps.js";
import { parseFleetFaults } from "../parseFleetFaults.steps.js";

const MS_PER_S = 1000;
/** Requests a second over all hosts; enough that each host sends some to each service. */
const REQUESTS_PER_S = 60;
const SERVICES = [MODEL_SERVICE, PLAIN_SERVICE];

let fleet: FrontFleet;

When(
    /^clients send requests to a fleet of (\d+) hosts for (\d+) s, whose engines state (?:(\d+) percent of the usual time|nothing)$/,
    async (hosts: string, seconds: string, percent: string | null) => {
        fleet = await createFrontFleet({
            hosts: Number(hosts),
            seed: 1,
            requestsPerS: REQUESTS_PER_S,
            hasTwoServices: true,
            ...parseFleetFaults("messages arrive"),
            ...(percent === null ? {} : { workPercent: Number(percent) }),
        });
        await fleet.play(Number(seconds) * MS_PER_S, 0);
    },
);

Then("each host has a pace of the engines of both services", () => {
    for (const performance of fleet.performances.values()) {
        for (const { name } of SERVICES) {
            ok(performance.isLearning(name));
            const paces = fleet.engineIds.map(id => performance.readPace({ id, service: name } as EngineEntry));
            ok(paces.every(pace => pace !== undefined && pace.promptTokensPerMs > 0 && pace.workMs > 0));
        }
    }
});

Then("hosts have events to report", () => {
    const seen = [...fleet.performances.values()].flatMap(performance =>
        fleet.engineIds.flatMap(id => performance.takeSeen(id)?.[1] ?? [])
    );
    ok(seen.length > 0);
});

Then("no host has a pace of any engine, nor anything to report", () => {
    strictEqual(fleet.performances.size, 6);
    for (const performance of fleet.performances.values()) {
        for (const id of fleet.engineIds) {
            for (const { name } of SERVICES) {
                strictEqual(performance.readPace({ id, service: name } as EngineEntry), undefined);
            }
            strictEqual(performance.takeSeen(id), undefined);
        }
    }
});
