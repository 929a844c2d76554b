import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAnswers } from "./checkAnswers.js";
import { planFaults } from "./planFaults.js";
import type { Fault, PlannedFault } from "./planFaults.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { HOST_NAME, MODEL, startSoakFleet } from "./startSoakFleet.js";
import type { SoakFleet, SoakSize } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** What a soak runs with. */
export interface SoakOptions extends SoakSize {
    readonly seed: number;
    /** Time with faults, in milliseconds. */
    readonly lengthMs: number;
    readonly clients: number;
}

/** What came of a soak. */
export interface SoakReport {
    readonly seed: number;
    readonly plan: readonly PlannedFault[];
    readonly broken: readonly string[];
    readonly asked: number;
    readonly answered: number;
    readonly refused: number;
    /** Share of the requests after the last fault that were answered. */
    readonly answeredAfter: number;
    readonly logs: readonly string[];
}

const ADAPTERS = 24;
/** Longest time until the hosts are ready at first, in milliseconds. */
const START_MS = 15_000;
/** Time after the last fault until the fleet must serve again, in milliseconds; the platform states 12 and 15 s. */
const RECOVERY_MS = 12_000;
/** Time in which requests are counted after that, in milliseconds. */
const AFTER_MS = 2000;
/** Least share of the requests that is answered then; the platform states a quarter. */
const LEAST_ANSWERED = 0.25;
/** Time until a declared version must be in force, in milliseconds; the platform states 5 s. */
const VERSION_MS = 5000;
/** Pause of a client between requests, in milliseconds. */
const CLIENT_PAUSE_MS = 60;
const DEADLINE_MS = 4000;

/**
 * Runs real processes under a random walk over faults, and checks what clients and engines see.
 *
 * @param options - Seed, size and length
 * @returns the plan, broken promises and the processes' logs
 *
 * @example
 * const { broken } = await runSoak({ seed: 7, hosts: 3, modelEngines: 3, plainEngines: 2, lengthMs: 8000, clients: 8 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const random = createRandom(options.seed);
    const plan = planFaults(random, {
        hosts: options.hosts,
        engines: options.modelEngines + options.plainEngines,
        lengthMs: options.lengthMs,
    });
    const fleet = await startSoakFleet(options);
    const broken: string[] = [];
    const answers: SoakAnswer[] = [];
    const agent = new Agent({ keepAlive: true });
    let isOver = false;
    const talk = async (client: number): Promise<void> => {
        const draws = createRandom(options.seed * 1000 + client);
        for (let sent = 0; !isOver; sent += 1) {
            const front = fleet.fronts[Math.floor(draws.next() * fleet.fronts.length)];
            if (front !== undefined) {
                const req = drawRequest(draws, `${options.seed}-${client}-${sent}`, fleet);
                answers.push(await sendRequest(req, toTarget(front), agent));
            }
            await wait(CLIENT_PAUSE_MS * 2 * draws.next());
        }
    };
    try {
        if (!await waitUntilReady(fleet, START_MS)) {
            broken.push("START not every host was ready in time");
        }
        const clients = Array.from({ length: options.clients }, (value, client) => talk(client));
        await injectAll(fleet, plan, random);
        if (!await waitUntilReady(fleet, RECOVERY_MS)) {
            broken.push("RECOVER not every host was ready again in time");
        }
        await wait(VERSION_MS);
        const settledAtMs = performance.now();
        await wait(AFTER_MS);
        isOver = true;
        await Promise.all(clients);
        const after = answers.filter(answer => answer.sentAtMs >= settledAtMs);
        const answeredAfter = after.filter(answer => answer.status === 200 && answer.isWhole).length / after.length;
        if (answeredAfter < LEAST_ANSWERED) {
            broken.push(`RECOVER ${answeredAfter.toFixed(2)} of the requests were answered at the end`);
        }
        broken.push(...checkAnswers(answers, fleet.record()), ...fleet.fronts.flatMap(front => front.ownEnds));
        broken.push(...await checkConfig(fleet, agent));
        return {
            seed: options.seed,
            plan,
            broken,
            asked: answers.length,
            answered: answers.filter(answer => answer.status === 200 && answer.isWhole).length,
            refused: answers.filter(answer => answer.status === 503 || answer.status === 429).length,
            answeredAfter,
            logs: fleet.fronts.flatMap(front => front.log.map(line => JSON.stringify(line))),
        };
    }
    finally {
        isOver = true;
        agent.destroy();
        await fleet.close();
    }
}

function drawRequest(random: Random, id: string, fleet: SoakFleet): SoakRequest {
    const share = random.next();
    const adapter = `a${1 + Math.floor(ADAPTERS * random.next() ** 2)}`;
    const base = { id, hostName: HOST_NAME, deadlineMs: DEADLINE_MS, body: "", leastVersion: 0 };
    if (share < 0.25) {
        return { ...base, kind: "safe", path: `/status/${id}` };
    }
    if (share < 0.5) {
        return { ...base, kind: "unsafe", path: `/orders/${id}`, body: `order ${id}` };
    }
    const declared = fleet.versions.get(adapter);
    const isInForce = declared !== undefined && performance.now() - declared.sinceMs > VERSION_MS;
    return {
        ...base,
        kind: "streaming",
        path: `/answers/${id}`,
        generation: { model: MODEL, adapter, events: 1 + Math.floor(30 * random.next()) },
        leastVersion: isInForce && fleet.isCalm(VERSION_MS) ? declared.version : 0,
    };
}

async function injectAll(fleet: SoakFleet, plan: readonly PlannedFault[], random: Random): Promise<void> {
    const startedAtMs = performance.now();
    const running: Promise<void>[] = [];
    for (const { atMs, forMs, fault } of plan) {
        await wait(Math.max(0, startedAtMs + atMs - performance.now()));
        running.push(inject(fleet, fault, forMs, random));
    }
    await Promise.all(running);
}

async function inject(fleet: SoakFleet, fault: Fault, forMs: number, random: Random): Promise<void> {
    fleet.noteFault(forMs);
    switch (fault.kind) {
        case "kill":
        case "stop": {
            const front = fleet.fronts[fault.host];
            if (front?.isRunning === true) {
                front.signal(fault.kind === "kill" ? "SIGKILL" : "SIGTERM");
                front.signal("SIGCONT");
                await front.waitForEnd();
                await wait(forMs / 4);
                if (!front.isRunning) {
                    front.start();
                }
            }
            return;
        }
        case "pause":
            fleet.fronts[fault.host]?.signal("SIGSTOP");
            await wait(forMs);
            fleet.fronts[fault.host]?.signal("SIGCONT");
            return;
        case "reload":
            if (fleet.fronts[fault.host]?.hasBegun === true) {
                fleet.fronts[fault.host]?.signal("SIGHUP");
            }
            return;
        case "store_link":
        case "engine_link": {
            const link = (fault.kind === "store_link" ? fleet.storeLinks : fleet.engineLinks)[fault.index];
            link?.setMode(fault.mode);
            await wait(forMs);
            link?.setMode("open");
            return;
        }
        case "store_reset":
            fleet.storeLinks[fault.index]?.reset();
            return;
        case "engine_reset":
            fleet.engineLinks[fault.index]?.reset();
            return;
        case "store_refuses":
            fleet.store.setMode("refusing");
            await wait(forMs);
            fleet.store.setMode("serving");
            return;
        case "store_compacts":
            fleet.store.compact();
            return;
        case "engine_crash":
            fleet.engine(fault.index)?.crash();
            await wait(forMs);
            await fleet.replaceEngine(fault.index);
            return;
        case "engine_leaves": {
            const engine = fleet.engine(fault.index);
            engine?.drain();
            await wait(LEAVING_MS);
            await fleet.replaceEngine(fault.index);
            engine?.crash();
            return;
        }
        case "engine_fails":
            fleet.engine(fault.index)?.setFailing(true);
            await wait(forMs);
            fleet.engine(fault.index)?.setFailing(false);
            return;
        case "new_config":
            fleet.writeNewConfig();
            return;
        case "new_version":
            fleet.writeNewVersion(`a${1 + Math.floor(ADAPTERS * random.next() ** 2)}`);
            return;
    }
}

/** Time that a leaving engine goes on serving, in milliseconds; the platform states 2 and 3 s. */
const LEAVING_MS = 3000;

/** Checks that every host serves the newest configuration's own route and no older one's. */
async function checkConfig(fleet: SoakFleet, agent: Agent): Promise<readonly string[]> {
    const broken: string[] = [];
    for (const front of fleet.fronts) {
        for (const version of [fleet.configVersion, fleet.configVersion - 1].filter(number => number > 0)) {
            const id = `config-${front.host.name}-${version}`;
            const req: SoakRequest = {
                id,
                kind: "safe",
                hostName: HOST_NAME,
                deadlineMs: DEADLINE_MS,
                path: `/extra-${version}/${id}`,
                body: "",
                leastVersion: 0,
            };
            const { status } = await sendRequest(req, toTarget(front), agent);
            if (status === 404 !== version < fleet.configVersion) {
                broken.push(`CONFIG ${front.host.name} answers ${status} for a route of version ${version}`);
            }
        }
    }
    return broken;
}
