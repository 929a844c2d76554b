import { createRandom } from "@fulmarcleat/ids";
import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAnswers } from "./checkAnswers.js";
import type { CutMode } from "./createEnginePaths.js";
import type { FrontProcess } from "./createFrontProcess.js";
import { drawRequest } from "./drawRequest.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer } from "./sendRequest.js";
import { startSoakFleet } from "./startSoakFleet.js";
import type { SoakSize } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Options of a run in which some hosts are cut from all engines. */
export interface CutOptions extends SoakSize {
    readonly seed: number;
    /** Indexes of the hosts that are cut. */
    readonly cutHosts: readonly number[];
    readonly mode: CutMode;
    /** Duration of the cut, in milliseconds. */
    readonly lengthMs: number;
}

/** First tries of clients at one host that were sent while the cut had to be without effect on them. */
export interface HostCount {
    readonly host: string;
    readonly isCut: boolean;
    readonly sent: number;
    /** Number of whole answers with status 200. */
    readonly served: number;
}

/** Result of a run in which some hosts are cut from all engines. */
export interface CutReport {
    readonly counts: readonly HostCount[];
    /** One line for each violated guarantee. */
    readonly violations: readonly string[];
}

/** Longest time until the hosts are ready after their start, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Time during which clients send requests before the cut, in milliseconds; adapters are loaded meanwhile. */
const WARM_UP_MS = 2500;
/** Time after the start of a cut from which on first tries count, in milliseconds; `contactMs` of the settings. */
const CONTACT_MS = 3000;
/** Interval between the requests to one host, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Deadline of each request, in milliseconds; those that count end before the cut does. */
const DEADLINE_MS = 2000;
/** Number of adapters that clients request; they fit into the engines' slots together. */
const ADAPTERS = 8;

/**
 * Cuts some hosts of a fleet from all engines, while clients, the store and the other hosts reach them, and counts the
 * first tries that each host serves from `contactMs` on. Clients send at a fixed rate and never try again.
 *
 * @param options - Seed, size, hosts to cut, mode and length of the cut
 * @returns the counts of all hosts and the violated guarantees
 *
 * @example
 * const { counts } = await runCut({ ...size, seed: 1, cutHosts: [0, 1], mode: "hang", lengthMs: 8000 });
 */
export async function runCut(options: CutOptions): Promise<CutReport> {
    const fleet = await startSoakFleet(options);
    const agent = new Agent({ keepAlive: true });
    const sending: Promise<SoakAnswer>[] = [];
    let isOver = false;
    const sendRequests = async (front: FrontProcess, index: number): Promise<void> => {
        const random = createRandom(options.seed * 1000 + index);
        for (let sent = 0; !isOver; sent += 1) {
            const range = { id: `${options.seed}-${index}-${sent}`, deadlineMs: DEADLINE_MS, adapters: ADAPTERS };
            sending.push(sendRequest(drawRequest(random, fleet, range), toTarget(front), agent));
            await wait(REQUEST_INTERVAL_MS);
        }
    };
    try {
        const isReady = await waitUntilReady(fleet, START_TIMEOUT_MS);
        const clients = fleet.fronts.map(sendRequests);
        await wait(WARM_UP_MS);
        const cutPaths = fleet.enginePaths.filter((paths, index) => options.cutHosts.includes(index));
        const cutAtMs = performance.now();
        await Promise.all(cutPaths.map(paths => paths.cut(options.mode)));
        await wait(options.lengthMs);
        const endedAtMs = performance.now();
        await Promise.all(cutPaths.map(paths => paths.restore()));
        isOver = true;
        await Promise.all(clients);
        const answers = await Promise.all(sending);
        const counted = answers.filter(({ sentAtMs }) =>
            sentAtMs >= cutAtMs + CONTACT_MS && sentAtMs + DEADLINE_MS < endedAtMs
        );
        return {
            counts: fleet.fronts.map(({ host }, index) => {
                const sent = counted.filter(answer => answer.host === host.name);
                const served = sent.filter(answer => answer.status === 200 && answer.isComplete);
                const isCut = options.cutHosts.includes(index);
                return { host: host.name, isCut, sent: sent.length, served: served.length };
            }),
            violations: [
                ...isReady ? [] : ["START not every host became ready in time"],
                ...checkAnswers(answers, fleet.readEngineRecord()),
                ...fleet.fronts.flatMap(front => front.unexpectedExits),
            ],
        };
    }
    finally {
        isOver = true;
        agent.destroy();
        await fleet.close();
    }
}
