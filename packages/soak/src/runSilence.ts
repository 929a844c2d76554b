import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAnswers } from "./checkAnswers.js";
import { createStreamRequest } from "./createStreamRequest.js";
import { loadAdapters } from "./loadAdapters.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer } from "./sendRequest.js";
import { startSoakFleet } from "./startSoakFleet.js";
import type { SoakSize } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Options of a run in which engines fall silent. */
export interface SilenceOptions extends SoakSize {
    /** Number of model engines that fall silent at the same time. */
    readonly silentEngines: number;
    /** Duration of each silence, in milliseconds. */
    readonly silenceMs: number;
    /** Number of silences, one after the other. */
    readonly silences: number;
}

/** Result of a run in which engines fall silent. */
export interface SilenceReport {
    readonly answers: readonly SoakAnswer[];
    /** One line for each violated guarantee. */
    readonly violations: readonly string[];
}

/** Longest time until the hosts are ready after their start, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Adapters that clients request; they fit into the slots of one engine. */
const ADAPTERS = ["a1", "a2", "a3", "a4"];
/** Number of streams of the clients, and of events of each; an event takes 15 ms. */
const STREAMS = 24;
const EVENTS = 60;
/** Interval between the starts of streams, in milliseconds. */
const START_INTERVAL_MS = 25;
/** Time from the start of the first stream to the silence, in milliseconds; some streams start during the silence. */
const SILENT_AFTER_MS = 350;
/** Time between two silences, in milliseconds. */
const SILENCE_PAUSE_MS = 200;
const DEADLINE_MS = 5000;

/**
 * Lets model engines of a fleet fall silent while clients receive streams. Clients never try again.
 *
 * @param options - Size of the fleet, number of silent engines and length of the silence
 * @returns the answers to the clients and the violated guarantees
 *
 * @example
 * const { answers } = await runSilence({ ...size, silentEngines: 1, silenceMs: 1000, silences: 1 });
 */
export async function runSilence(options: SilenceOptions): Promise<SilenceReport> {
    const fleet = await startSoakFleet(options);
    const agent = new Agent({ keepAlive: true });
    const send = (index: number): Promise<SoakAnswer> => {
        const front = fleet.fronts[index % fleet.fronts.length];
        if (front === undefined) {
            throw new RangeError("a fleet without hosts");
        }
        const adapter = ADAPTERS[Math.floor(index / fleet.fronts.length) % ADAPTERS.length] ?? "";
        const req = createStreamRequest({ id: `stream-${index}`, adapter, events: EVENTS, deadlineMs: DEADLINE_MS });
        return sendRequest(req, toTarget(front), agent);
    };
    try {
        const isReady = await waitUntilReady(fleet, START_TIMEOUT_MS);
        const warmUps = await loadAdapters(fleet, ADAPTERS, agent);
        const streams = Array.from({ length: STREAMS }, async (value, index) => {
            await wait(index * START_INTERVAL_MS);
            return send(index);
        });
        await wait(SILENT_AFTER_MS);
        for (let silence = 0; silence < options.silences; silence += 1) {
            for (let index = 0; index < options.silentEngines; index += 1) {
                fleet.getEngine(index)?.fallSilent(options.silenceMs);
            }
            await wait(options.silenceMs + SILENCE_PAUSE_MS);
        }
        const answers = await Promise.all(streams);
        return {
            answers,
            violations: [
                ...isReady ? [] : ["START not every host became ready in time"],
                ...checkAnswers([...warmUps, ...answers], fleet.readEngineRecord()),
                ...fleet.fronts.flatMap(front => front.unexpectedExits),
            ],
        };
    }
    finally {
        agent.destroy();
        await fleet.close();
    }
}
