import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAccounts } from "./checkAccounts.js";
import { checkAnswers } from "./checkAnswers.js";
import type { FrontProcess } from "./createFrontProcess.js";
import { createLookup, drawAdapter, drawRequest, VERSION_TIMEOUT_MS } from "./drawRequest.js";
import { planFaults } from "./planFaults.js";
import type { Fault, FaultKind, PlannedFault } from "./planFaults.js";
import { resumeRequest } from "./resumeRequest.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { BUSY_ACCOUNT, KEY_PREFIX, moveKey } from "./soakAccounts.js";
import { HOST_NAME, startSoakFleet } from "./startSoakFleet.js";
import type { SoakFleet, SoakSize } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Options of a soak. */
export interface SoakOptions extends SoakSize {
    readonly seed: number;
    /** Time during which faults are injected, in milliseconds. */
    readonly lengthMs: number;
    /** Number of concurrent clients. */
    readonly clients: number;
    /** Kinds of faults that are injected. */
    readonly kinds: readonly FaultKind[];
}

/** Result of a soak. */
export interface SoakReport {
    readonly seed: number;
    readonly plan: readonly PlannedFault[];
    /** One line for each violated guarantee. */
    readonly violations: readonly string[];
    /** Number of requests that the clients sent. */
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    /** Number of requests that were refused for want of a valid key. */
    readonly unauthenticated: number;
    /** Number of requests that were refused since their account had reached its limit. */
    readonly limited: number;
    /** Share of the requests sent after recovery that were answered, from 0 to 1. */
    readonly recoveredShare: number;
    readonly logs: readonly string[];
}

/** Number of adapters that clients request. */
const ADAPTERS = 24;
/** Longest time until the hosts are ready after their first start, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Time after the last fault until the fleet must serve again, in milliseconds; the platform states 12 and 15 s. */
const RECOVERY_TIMEOUT_MS = 12_000;
/** Time during which requests are counted after recovery, in milliseconds. */
const RECOVERY_SAMPLE_MS = 2000;
/** Minimum share of requests that must be answered after recovery; the platform states a quarter. */
const MIN_RECOVERED_SHARE = 0.25;
/** Statuses of requests without a valid key and of those over their account's limit; more capacity changes neither. */
const ACCOUNT_STATUSES = [401, 429];
/** Mean pause of a client between requests, in milliseconds. */
const MEAN_CLIENT_PAUSE_MS = 60;
/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 4000;
/** Clients of the account that sends several times more than its limit, and the mean pause between their requests. */
const BUSY_CLIENTS = 4;
const MEAN_BUSY_PAUSE_MS = 50;
/** Time after which hosts refuse keys without a confirmed configuration, in milliseconds; for even seeds. */
const REVOKE_MS = 4000;

/**
 * Runs front processes under a random sequence of faults and checks the answers of clients and the runs on engines.
 *
 * @param options - Seed, size and length of the run
 * @returns the plan of faults, the violated guarantees and the logs of the processes
 *
 * @example
 * const size = { hosts: 3, domains: 1, modelEngines: 3, plainEngines: 2, softwareVersions: 2 };
 * const { violations } = await runSoak({ ...size, seed: 7, lengthMs: 8000, clients: 8, kinds: FAULT_KINDS });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const random = createRandom(options.seed);
    const plan = planFaults(random, {
        hosts: options.hosts,
        engines: options.modelEngines + options.plainEngines,
        lengthMs: options.lengthMs,
        kinds: options.kinds,
    });
    const fleet = await startSoakFleet({
        ...options,
        revokeMs: options.seed % 2 === 0 ? REVOKE_MS : undefined,
    });
    const violations: string[] = [];
    const answers: SoakAnswer[] = [];
    const agent = new Agent({ keepAlive: true });
    let isOver = false;
    const runClient = async (client: number): Promise<void> => {
        const clientRandom = createRandom(options.seed * 1000 + client);
        for (let sent = 0; !isOver; sent += 1) {
            const front = fleet.fronts[Math.floor(clientRandom.next() * fleet.fronts.length)];
            if (front !== undefined) {
                const req = drawRequest(clientRandom, fleet, {
                    id: `${options.seed}-${client}-${sent}`,
                    deadlineMs: DEADLINE_MS,
                    adapters: ADAPTERS,
                });
                answers.push(...await sendAndResume(req, front, fleet, agent));
            }
            await wait(MEAN_CLIENT_PAUSE_MS * 2 * clientRandom.next());
        }
    };
    /** Sends requests with the keys of the busy account, without waiting for the answers. */
    const runBusyClient = async (client: number): Promise<void> => {
        const clientRandom = createRandom(options.seed * 1000 + options.clients + client);
        const sending: Promise<void>[] = [];
        for (let sent = 0; !isOver; sent += 1) {
            const front = fleet.fronts[Math.floor(clientRandom.next() * fleet.fronts.length)];
            const keys = fleet.keys?.accounts.find(({ name }) => name === BUSY_ACCOUNT)?.keys ?? [];
            const apiKey = keys[Math.floor(clientRandom.next() * keys.length)];
            if (front !== undefined && apiKey !== undefined) {
                const req = createLookup(fleet, apiKey, {
                    id: `${options.seed}-busy-${client}-${sent}`,
                    deadlineMs: DEADLINE_MS,
                });
                sending.push(sendRequest(req, toTarget(front), agent).then(answer => void answers.push(answer)));
            }
            await wait(MEAN_BUSY_PAUSE_MS * 2 * clientRandom.next());
        }
        await Promise.all(sending);
    };
    try {
        if (!await waitUntilReady(fleet, START_TIMEOUT_MS)) {
            violations.push("START not every host became ready in time");
        }
        const clients = Array.from({ length: options.clients }, (value, client) => runClient(client));
        if (fleet.keys !== undefined) {
            clients.push(...Array.from({ length: BUSY_CLIENTS }, (value, client) => runBusyClient(client)));
        }
        await injectFaults(fleet, plan, random);
        if (!await waitUntilReady(fleet, RECOVERY_TIMEOUT_MS)) {
            violations.push("RECOVER not every host became ready again in time");
        }
        await wait(VERSION_TIMEOUT_MS);
        const recoveredAtMs = performance.now();
        await wait(RECOVERY_SAMPLE_MS);
        isOver = true;
        await Promise.all(clients);
        const sampled = answers.filter(({ sentAtMs, status }) =>
            sentAtMs >= recoveredAtMs && !ACCOUNT_STATUSES.includes(status)
        );
        const recoveredShare = sampled.filter(answer => answer.status === 200 && answer.isComplete).length
            / sampled.length;
        if (recoveredShare < MIN_RECOVERED_SHARE) {
            violations.push(`RECOVER ${recoveredShare.toFixed(2)} of the requests after recovery were answered`);
        }
        const record = fleet.readEngineRecord();
        violations.push(...await checkConfig(fleet, agent));
        violations.push(...await checkSilentLinks(fleet, agent));
        const logs = fleet.fronts.flatMap(front => front.log.map(line => JSON.stringify(line)));
        if (fleet.keys !== undefined) {
            violations.push(...checkAccounts(answers, record.runs, fleet.keys));
        }
        violations.push(
            ...checkAnswers(answers, record),
            ...fleet.fronts.flatMap(front => front.unexpectedExits),
        );
        violations.push(...logs.filter(line => line.includes(KEY_PREFIX)).map(line => `KEY logged: ${line}`));
        return {
            seed: options.seed,
            plan,
            violations,
            sent: answers.length,
            answered: answers.filter(answer => answer.status === 200 && answer.isComplete).length,
            refused: answers.filter(answer => answer.status === 503).length,
            unauthenticated: answers.filter(answer => answer.status === 401).length,
            limited: answers.filter(answer => answer.status === 429).length,
            recoveredShare,
            logs,
        };
    }
    finally {
        isOver = true;
        agent.destroy();
        await fleet.close();
    }
}

/** Sends a request; a stream that breaks off is resumed at the other hosts, one after the other. */
async function sendAndResume(
    req: SoakRequest,
    front: FrontProcess,
    fleet: SoakFleet,
    agent: Agent,
): Promise<readonly SoakAnswer[]> {
    const answers: SoakAnswer[] = [];
    const endsAtMs = performance.now() + req.deadlineMs;
    const first = fleet.fronts.indexOf(front);
    let next: SoakRequest | undefined = req;
    for (let attempt = 0; attempt < fleet.fronts.length && next !== undefined; attempt += 1) {
        const host = fleet.fronts[(first + attempt) % fleet.fronts.length] ?? front;
        const answer: SoakAnswer = await sendRequest(next, toTarget(host), agent);
        answers.push(answer);
        next = resumeRequest(answer, endsAtMs - performance.now());
    }
    return answers;
}

async function injectFaults(fleet: SoakFleet, plan: readonly PlannedFault[], random: Random): Promise<void> {
    const startedAtMs = performance.now();
    const running: Promise<void>[] = [];
    for (const { atMs, forMs, fault } of plan) {
        await wait(Math.max(0, startedAtMs + atMs - performance.now()));
        running.push(injectFault(fleet, fault, forMs, random));
    }
    await Promise.all(running);
}

async function injectFault(fleet: SoakFleet, fault: Fault, forMs: number, random: Random): Promise<void> {
    fleet.recordFault(fault.kind === "store_restores" ? forMs + STORE_AWAY_MS : forMs);
    switch (fault.kind) {
        case "kill":
        case "stop": {
            const front = fleet.fronts[fault.host];
            if (front?.isRunning === true) {
                front.signal(fault.kind === "kill" ? "SIGKILL" : "SIGTERM");
                front.signal("SIGCONT");
                await front.waitForExit();
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
            if (fleet.fronts[fault.host]?.hasLoggedSinceStart === true) {
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
        case "store_restores": {
            const restore = fleet.store.copy();
            await wait(forMs);
            fleet.store.setMode("refusing");
            await wait(STORE_AWAY_MS);
            restore();
            fleet.keys?.recordReturn(fleet.clock.nowMs());
            fleet.store.setMode("serving");
            return;
        }
        case "engine_crash":
            fleet.getEngine(fault.index)?.crash();
            await wait(forMs);
            await fleet.replaceEngine(fault.index);
            return;
        case "engine_leaves": {
            const engine = fleet.getEngine(fault.index);
            engine?.drain();
            await wait(ENGINE_DRAIN_MS);
            await fleet.replaceEngine(fault.index);
            engine?.crash();
            return;
        }
        case "engine_fails":
            fleet.getEngine(fault.index)?.setFailing(true);
            await wait(forMs);
            fleet.getEngine(fault.index)?.setFailing(false);
            return;
        case "engine_silent":
            fleet.getEngine(fault.index)?.fallSilent(forMs / 4);
            return;
        case "hosts_cut":
            await Promise.all(fault.hosts.map(host => fleet.enginePaths[host]?.cut(fault.mode)));
            await wait(forMs);
            await Promise.all(fault.hosts.map(host => fleet.enginePaths[host]?.restore()));
            return;
        case "new_config":
            fleet.publishNewConfig();
            return;
        case "new_keys":
            fleet.publishNewConfig(fleet.keys && moveKey(fleet.keys.accounts, random));
            return;
        case "new_version":
            fleet.publishNewVersion(drawAdapter(random, ADAPTERS));
            return;
    }
}

/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const STORE_AWAY_MS = 300;

/** Time that a draining engine keeps serving, in milliseconds; the platform states 2 and 3 s. */
const ENGINE_DRAIN_MS = 3000;

/** Time for every host to open its watches anew after a change, in milliseconds. */
const WATCH_START_MS = 1000;

/** Checks that a change takes effect although every connection to the store has gone silent without being closed. */
async function checkSilentLinks(fleet: SoakFleet, agent: Agent): Promise<readonly string[]> {
    fleet.publishNewConfig();
    await wait(WATCH_START_MS);
    fleet.storeLinks.forEach(link => link.silence());
    fleet.publishNewConfig();
    await wait(VERSION_TIMEOUT_MS);
    return checkConfig(fleet, agent);
}

/** Checks that every host serves the route that only the newest configuration has, but not that of its predecessor. */
async function checkConfig(fleet: SoakFleet, agent: Agent): Promise<readonly string[]> {
    const violations: string[] = [];
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
                minVersion: 0,
            };
            const { status } = await sendRequest(req, toTarget(front), agent);
            if (status === 404 !== version < fleet.configVersion) {
                violations.push(`CONFIG ${front.host.name} answers ${status} for a route of version ${version}`);
            }
        }
    }
    return violations;
}
