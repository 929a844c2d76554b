import type { EventLog } from "@fulmarcleat/events";
import type { RunningProgram } from "./runningProgram.js";

/** Exit code of a program that was ended before its running work had finished. */
const EXIT_CUT = 3;

/**
 * Stops a program on SIGTERM or SIGINT; a second signal or the limit ends it at once with exit code 3.
 *
 * @param running - The program's running part
 * @param limitMs - Longest planned stop, in milliseconds
 * @param log - Where the event goes that says what was cut
 * @returns nothing
 *
 * @example
 * stopOnSignals(await startGateway(cfg), cfg.stopLimitMs, log);
 */
export function stopOnSignals(running: RunningProgram, limitMs: number, log: EventLog): void {
    let isStopping = false;
    const cut = (reason: string): void => {
        log.write("error", 104, { reason, unfinished: running.describeUnfinished() });
        process.exit(EXIT_CUT);
    };
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            cut(`second ${signal}`);
            return;
        }
        isStopping = true;
        setTimeout(() => cut("stop limit"), limitMs).unref();
        running.stop().then(() => process.exit(0), () => cut("stop failed"));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
