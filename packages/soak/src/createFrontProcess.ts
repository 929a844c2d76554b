import { SETTINGS_VARIABLE } from "@fulmarcleat/platform";
import { formatSettings, READINESS_PATH } from "@fulmarcleat/platform-standin";
import type { StandinHost } from "@fulmarcleat/platform-standin";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** One parsed line of a process's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A front process that the soak starts, signals and restarts. */
export interface FrontProcess {
    readonly host: StandinHost;
    readonly isRunning: boolean;
    /** Whether the program has logged since its last start; before that, Node.js has no signal handlers installed. */
    readonly hasLoggedSinceStart: boolean;
    /** One line for each exit that was not caused by a SIGKILL or SIGTERM of the soak. */
    readonly unexpectedExits: readonly string[];
    readonly log: readonly LogLine[];
    start(): void;
    signal(signal: NodeJS.Signals): void;
    /** Resolves once the process has exited. */
    waitForExit(): Promise<void>;
    isReady(): Promise<boolean>;
    /** Kills the process and prevents restarts. */
    close(): Promise<void>;
}

const PROGRAM = new URL("../../../target/fulmarcleat-front.mjs", import.meta.url).pathname;
/** Delay before a process that exited unexpectedly is restarted, in milliseconds; the platform restarts it too. */
const RESTART_DELAY_MS = 300;
/** Timeout of a readiness check, in milliseconds. */
const READINESS_TIMEOUT_MS = 500;

/**
 * Writes a host's settings file and creates the handle of its process, without starting it.
 *
 * @param host - Name, addresses and settings of the host
 * @param folder - Existing folder for the settings file
 * @returns the handle of the process
 *
 * @example
 * const front = await createFrontProcess(host, folder);
 * front.start();
 */
export async function createFrontProcess(host: StandinHost, folder: string): Promise<FrontProcess> {
    const file = join(folder, `${host.name}.json`);
    await writeFile(file, formatSettings(host));
    const log: LogLine[] = [];
    const unexpectedExits: string[] = [];
    let child: ChildProcess | undefined;
    let wasTerminated = false;
    let lineCountAtStart = 0;
    let isClosed = false;
    let exited = Promise.resolve();
    const start = (): void => {
        const started = spawn(process.execPath, [PROGRAM], {
            env: { PATH: process.env["PATH"], [SETTINGS_VARIABLE]: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child = started;
        lineCountAtStart = log.length;
        wasTerminated = false;
        createInterface(started.stdout).on("line", line => log.push(parseLine(line)));
        createInterface(started.stderr).on("line", line => log.push({ stderr: line }));
        exited = new Promise(resolve => {
            started.once("exit", (code, signal) => {
                child = undefined;
                resolve();
                if (!wasTerminated && !isClosed) {
                    unexpectedExits.push(`EXIT ${host.name} exited with ${code ?? signal ?? "no status"}`);
                    setTimeout(start, RESTART_DELAY_MS);
                }
            });
        });
    };
    return {
        host,
        log,
        unexpectedExits,
        get hasLoggedSinceStart() {
            return child !== undefined && log.length > lineCountAtStart;
        },
        get isRunning() {
            return child !== undefined;
        },
        start,
        signal(signal) {
            wasTerminated ||= signal === "SIGKILL" || signal === "SIGTERM";
            child?.kill(signal);
        },
        waitForExit: () => exited,
        async close() {
            isClosed = true;
            child?.kill("SIGKILL");
            await exited;
        },
        async isReady() {
            try {
                const res = await fetch(`http://${host.ip}:${host.readinessPort}${READINESS_PATH}`, {
                    signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
                });
                return res.status === 200;
            }
            catch {
                // The request fails or times out while the process is down or paused.
                return false;
            }
        },
    };
}

function parseLine(line: string): LogLine {
    try {
        return JSON.parse(line) as LogLine;
    }
    catch {
        // Recorded under a separate key, so that checks of the log format find the line.
        return { unreadable: line };
    }
}
