import { createRandom } from "@fulmarcleat/ids";
import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAnswers } from "./checkAnswers.js";
import { createStreamRequest } from "./createStreamRequest.js";
import { loadAdapters } from "./loadAdapters.js";
import { resumeRequest } from "./resumeRequest.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { startSoakFleet } from "./startSoakFleet.js";
import type { SoakSize } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Options of a run in which all hosts are lost. */
export interface LossOptions extends SoakSize {
    readonly seed: number;
}

/** Result of a run in which all hosts are lost. */
export interface LossReport {
    readonly seed: number;
    /** Time from the first stream to the loss of all hosts, in milliseconds. */
    readonly killedAfterMs: number;
    /** Number of streams that clients began. */
    readonly streams: number;
    /** Number of streams whose first event had reached the client when the hosts were lost. */
    readonly broken: number;
    /** One line for each violated guarantee. */
    readonly violations: readonly string[];
    readonly logs: readonly string[];
}

/** Longest time until the hosts are ready after their start, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Adapters that clients request; engines of all software versions hold some of them. */
const ADAPTERS = Array.from({ length: 8 }, (value, index) => `a${index + 1}`);
/** Number of streams, and of events of each; an event takes 15 ms, so that no stream ends before the loss. */
const STREAMS = 48;
const EVENTS = 120;
/** Longest time from the first stream to the loss of all hosts, in milliseconds. */
const MAX_KILL_MS = 1000;
/** Spreads small seeds over all numbers; the generator's first numbers are nearly equal for neighbouring seeds. */
const SEED_FACTOR = 0x9e3779b1;
/** Longest time until the hosts are started again, in milliseconds. */
const MAX_DOWN_MS = 1000;
/**
 * Time within which a client gets its whole stream, in milliseconds; the platform states 15 s until hosts serve again, and
 * streams may be resumed for 30 s.
 */
const DEADLINE_MS = 20_000;
/** Pause between two tries to resume a stream, in milliseconds. */
const RETRY_MS = 400;

/**
 * Kills all hosts of a fleet at a moment within a second after streams began, starts them again and lets clients resume
 * the streams of which they have an event. Streams begin at moments between the first one and the loss.
 *
 * @param options - Seed and size; more than one software version
 * @returns the number of streams that broke off, the violated guarantees and the logs of the processes
 *
 * @example
 * const { violations } = await runLoss({ ...size, seed: 1, softwareVersions: 2 });
 */
export async function runLoss(options: LossOptions): Promise<LossReport> {
    const random = createRandom(Math.imul(options.seed, SEED_FACTOR));
    const fleet = await startSoakFleet(options);
    const agent = new Agent({ keepAlive: true });
    const killedAfterMs = MAX_KILL_MS * random.next();
    /** Sends a stream's request and resumes it at the next hosts until it is complete. */
    const receiveStream = async (index: number): Promise<readonly SoakAnswer[]> => {
        const adapter = ADAPTERS[index % ADAPTERS.length] ?? "";
        const answers: SoakAnswer[] = [];
        let next: SoakRequest | undefined = createStreamRequest({
            id: `${options.seed}-${index}`,
            adapter,
            events: EVENTS,
            deadlineMs: DEADLINE_MS,
        });
        await wait(killedAfterMs * random.next());
        const endsAtMs = performance.now() + DEADLINE_MS;
        while (next !== undefined) {
            const front = fleet.fronts[(index + answers.length) % fleet.fronts.length];
            if (front === undefined) {
                throw new RangeError("a fleet without hosts");
            }
            const answer: SoakAnswer = await sendRequest(next, toTarget(front), agent);
            answers.push(answer);
            next = resumeRequest(answer, endsAtMs - performance.now() - RETRY_MS);
            if (next !== undefined) {
                await wait(RETRY_MS);
            }
        }
        return answers;
    };
    const restartAll = async (downMs: number): Promise<void> => {
        fleet.fronts.forEach(front => front.signal("SIGKILL"));
        await Promise.all(fleet.fronts.map(front => front.waitForExit()));
        await wait(downMs);
        fleet.fronts.forEach(front => front.start());
    };
    try {
        const isReady = await waitUntilReady(fleet, START_TIMEOUT_MS);
        const warmUps = await loadAdapters(fleet, ADAPTERS, agent);
        const streams = Array.from({ length: STREAMS }, (value, index) => receiveStream(index));
        const downMs = MAX_DOWN_MS * random.next();
        await wait(killedAfterMs);
        await restartAll(downMs);
        const received = await Promise.all(streams);
        const broken = received.filter(answers => answers.length > 1);
        return {
            seed: options.seed,
            killedAfterMs,
            streams: STREAMS,
            broken: broken.length,
            violations: [
                ...isReady ? [] : ["START not every host became ready in time"],
                ...broken.flatMap(describeLoss),
                ...checkAnswers([...warmUps, ...received.flat()], fleet.readEngineRecord()),
                ...fleet.fronts.flatMap(front => front.unexpectedExits),
            ],
            logs: fleet.fronts.flatMap(front => front.log.map(line => JSON.stringify(line))),
        };
    }
    finally {
        agent.destroy();
        await fleet.close();
    }
}

/** Describes a stream that was not resumed to its end. */
function describeLoss(answers: readonly SoakAnswer[]): readonly string[] {
    const first = answers[0];
    const last = answers.at(-1);
    if (first === undefined || last === undefined || last.status === 200 && last.isComplete) {
        return [];
    }
    const statuses = answers.map(answer => answer.status).join(" ");
    return [
        `LOST stream ${first.req.id} of ${first.host} got ${
            first.text.split("\n\n").length - 1
        } events and ${statuses}`,
    ];
}
