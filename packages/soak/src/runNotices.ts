import type { StandinArrival } from "@fulmarcleat/platform-standin";
import { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { checkAnswers } from "./checkAnswers.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { HOST_NAME, MODEL, startSoakFleet } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** What one engine was asked before and after it said something of further work. */
export interface NoticedEngine {
    /** Clock reading when it began to say so, in milliseconds. */
    readonly saidMs: number;
    /** Clock reading at the end of its pause, in milliseconds; Infinity for an engine that leaves. */
    readonly untilMs: number;
    readonly arrivals: readonly StandinArrival[];
}

/** Result of a run in which engines leave and pause. */
export interface NoticesReport {
    readonly leaving: NoticedEngine;
    readonly pausing: readonly NoticedEngine[];
    readonly answers: readonly SoakAnswer[];
    /** One line for each violated guarantee. */
    readonly violations: readonly string[];
}

/** Engines of the fleet: one with a model, and plain ones after it; so few that each of them is asked. */
const MODEL_ENGINES = 1;
const PLAIN_ENGINES = 2;
/** Longest time until the host is ready after its start, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Interval between two requests of the clients, in milliseconds. */
const INTERVAL_MS = 20;
/** Time for which clients send requests before engines say something, and after it, in milliseconds. */
const LEAD_MS = 1500;
const LENGTH_MS = 6000;
const DEADLINE_MS = 3000;
/** Adapters that clients request; they fit into the slots of the engine. */
const ADAPTERS = 4;

/**
 * Lets one plain engine of a host leave, the other one and the model engine pause, while clients send requests. The store
 * says nothing of either.
 *
 * @param pauseMs - Length of the pause, in milliseconds
 * @returns what reached these engines, the answers to the clients and the violated guarantees
 *
 * @example
 * const { leaving, pausing } = await runNotices(3000);
 */
export async function runNotices(pauseMs: number): Promise<NoticesReport> {
    const fleet = await startSoakFleet({
        hosts: 1,
        domains: 1,
        modelEngines: MODEL_ENGINES,
        plainEngines: PLAIN_ENGINES,
        softwareVersions: 1,
        truncatesStreams: false,
    });
    const agent = new Agent({ keepAlive: true });
    const requests: Promise<SoakAnswer>[] = [];
    const sendFor = async (forMs: number): Promise<void> => {
        const endsAtMs = performance.now() + forMs;
        while (performance.now() < endsAtMs) {
            requests.push(send(requests.length));
            await wait(INTERVAL_MS);
        }
    };
    const send = (number: number): Promise<SoakAnswer> => {
        const front = fleet.fronts[0];
        if (front === undefined) {
            throw new RangeError("a fleet without hosts");
        }
        const isStream = number % 2 === 0;
        const id = `request-${number}`;
        const req: SoakRequest = {
            id,
            kind: isStream ? "streaming" : "safe",
            hostName: HOST_NAME,
            path: isStream ? `/answers/${id}` : `/status/${id}`,
            body: "",
            deadlineMs: DEADLINE_MS,
            minVersion: 0,
            generation: isStream ? { model: MODEL, adapter: `a${1 + number % ADAPTERS}`, events: 2 } : undefined,
        };
        return sendRequest(req, toTarget(front), agent);
    };
    const notice = (index: number, untilMs: number): NoticedEngine => ({
        saidMs: fleet.clock.nowMs(),
        untilMs,
        arrivals: fleet.getEngine(index)?.arrivals ?? [],
    });
    try {
        const isReady = await waitUntilReady(fleet, START_TIMEOUT_MS);
        await sendFor(LEAD_MS);
        const untilMs = fleet.clock.nowMs() + pauseMs;
        const leaving = notice(MODEL_ENGINES, Infinity);
        const pausing = [notice(0, untilMs), notice(MODEL_ENGINES + 1, untilMs)];
        fleet.getEngine(MODEL_ENGINES)?.sayLeaving();
        fleet.getEngine(0)?.askForPause(pauseMs);
        fleet.getEngine(MODEL_ENGINES + 1)?.askForPause(pauseMs);
        await sendFor(LENGTH_MS);
        const answers = await Promise.all(requests);
        return {
            leaving,
            pausing,
            answers,
            violations: [
                ...isReady ? [] : ["START not every host became ready in time"],
                ...checkAnswers(answers, fleet.readEngineRecord()),
                ...fleet.fronts.flatMap(front => front.unexpectedExits),
            ],
        };
    }
    finally {
        agent.destroy();
        await fleet.close();
    }
}
