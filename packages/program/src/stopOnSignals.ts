import type { EventLog } from "@fulmarcleat/events";
import type { RunningProgram } from "./runningProgram.js";

/** Exit code of a program that exited before its running work had finished. */
const EXIT_FORCED = 3;

/**
 * Stops a program gracefully on SIGTERM or SIGINT.
 *
 * A second signal, a failed stop or the time limit ends the process immediately with exit code 3.
 *
 * @param running - Started program
 * @param limitMs - Time limit of the graceful stop, in milliseconds
 * @param log - Event log for the unfinished work of an immediate exit
 * @returns nothing; the signal handlers stay installed
 *
 * @example
 * stopOnSignals(await startGateway(cfg), cfg.stopLimitMs, log);
 */
export function stopOnSignals(running: RunningProgram, limitMs: number, log: EventLog): void {
    let isStopping = false;
    const exitNow = (reason: string): void => {
        log.write("error", 104, { reason, unfinished: running.describeUnfinished() });
        process.exit(EXIT_FORCED);
    };
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            exitNow(`second ${signal}`);
            return;
        }
        isStopping = true;
        setTimeout(() => exitNow("stop limit"), limitMs).unref();
        running.stop().then(() => process.exit(0), () => exitNow("stop failed"));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
