import type { EventLog } from "@fulmarcleat/events";
import type { RunningProgram } from "./runningProgram.js";

/** What a stop needs of its process; tests replace it. */
export interface StopProcess {
    on(signal: NodeJS.Signals, listener: (signal: NodeJS.Signals) => void): void;
    exit(code: number): void;
    setTimer(delayMs: number, fire: () => void): void;
}

const NODE_PROCESS: StopProcess = {
    on: (signal, listener) => void process.on(signal, listener),
    exit: code => process.exit(code),
    setTimer: (delayMs, fire) => void setTimeout(fire, delayMs).unref(),
};

/** Exit code of a program that exited before its running work had finished. */
const EXIT_FORCED = 3;

/**
 * Stops a program gracefully on SIGTERM or SIGINT.
 *
 * A second signal, a failed stop or the time limit ends the process immediately with exit code 3.
 *
 * @param running - Started program
 * @param limitMs - Time limit of the graceful stop, in milliseconds, unless the program names another one when it begins
 * @param log - Event log for the unfinished work of an immediate exit
 * @param target - The process
 * @returns nothing; the signal handlers stay installed
 *
 * @example
 * stopOnSignals(await startGateway(cfg), cfg.stopLimitMs, log);
 */
export function stopOnSignals(
    running: RunningProgram,
    limitMs: number,
    log: EventLog,
    target: StopProcess = NODE_PROCESS,
): void {
    let isStopping = false;
    const exitNow = (reason: string): void => {
        log.write("error", 104, { reason, unfinished: running.describeUnfinished() });
        target.exit(EXIT_FORCED);
    };
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            exitNow(`second ${signal}`);
            return;
        }
        isStopping = true;
        target.setTimer(running.readStopLimitMs?.() ?? limitMs, () => exitNow("stop limit"));
        running.stop().then(() => target.exit(0), () => exitNow("stop failed"));
    };
    target.on("SIGTERM", onSignal);
    target.on("SIGINT", onSignal);
}
