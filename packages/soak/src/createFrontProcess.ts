import { SETTINGS_VARIABLE } from "@fulmarcleat/platform";
import { formatSettings, READINESS_PATH } from "@fulmarcleat/platform-standin";
import type { StandinHost } from "@fulmarcleat/platform-standin";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** A line of a process's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A real front process that is started, signalled and started again from outside. */
export interface FrontProcess {
    readonly host: StandinHost;
    readonly isRunning: boolean;
    /** Whether the program has written a line since its last start; Node.js takes no signals before its first code. */
    readonly hasBegun: boolean;
    /** Each time that the process ended on its own, without a signal that ends it. */
    readonly ownEnds: readonly string[];
    readonly log: readonly LogLine[];
    start(): void;
    signal(signal: NodeJS.Signals): void;
    /** Resolves once the process has ended. */
    waitForEnd(): Promise<void>;
    isReady(): Promise<boolean>;
    /** Ends the process for good. */
    close(): Promise<void>;
}

const PROGRAM = new URL("../../../target/fulmarcleat-front.mjs", import.meta.url).pathname;
/** Pause before a process that ended on its own starts again, in milliseconds; the platform restarts it too. */
const RESTART_MS = 300;
/** Longest time until a host says whether it is ready, in milliseconds. */
const READINESS_TIMEOUT_MS = 500;

/**
 * Writes a host's settings and prepares its process.
 *
 * @param host - Where it listens
 * @param folder - Where its settings file goes
 * @returns the process, not started so far
 *
 * @example
 * const front = await createFrontProcess(host, folder);
 * front.start();
 */
export async function createFrontProcess(host: StandinHost, folder: string): Promise<FrontProcess> {
    const file = join(folder, `${host.name}.json`);
    await writeFile(file, formatSettings(host));
    const log: LogLine[] = [];
    const ownEnds: string[] = [];
    let child: ChildProcess | undefined;
    let wasSignalled = false;
    let linesAtStart = 0;
    let isClosed = false;
    let ended = Promise.resolve();
    const start = (): void => {
        const started = spawn(process.execPath, [PROGRAM], {
            env: { PATH: process.env["PATH"], [SETTINGS_VARIABLE]: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child = started;
        linesAtStart = log.length;
        wasSignalled = false;
        createInterface(started.stdout).on("line", line => log.push(parseLine(line)));
        createInterface(started.stderr).on("line", line => log.push({ stderr: line }));
        ended = new Promise(resolve => {
            started.once("exit", (code, signal) => {
                child = undefined;
                resolve();
                if (!wasSignalled && !isClosed) {
                    ownEnds.push(`EXIT ${host.name} ended with ${code ?? signal ?? "nothing"}`);
                    setTimeout(start, RESTART_MS);
                }
            });
        });
    };
    return {
        host,
        log,
        ownEnds,
        get hasBegun() {
            return child !== undefined && log.length > linesAtStart;
        },
        get isRunning() {
            return child !== undefined;
        },
        start,
        signal(signal) {
            wasSignalled ||= signal === "SIGKILL" || signal === "SIGTERM";
            child?.kill(signal);
        },
        waitForEnd: () => ended,
        async close() {
            isClosed = true;
            child?.kill("SIGKILL");
            await ended;
        },
        async isReady() {
            try {
                const res = await fetch(`http://${host.ip}:${host.readinessPort}${READINESS_PATH}`, {
                    signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
                });
                return res.status === 200;
            }
            catch {
                // A process that is down or paused is not ready.
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
        // Kept as it is; checks of the log's format see it.
        return { unreadable: line };
    }
}
