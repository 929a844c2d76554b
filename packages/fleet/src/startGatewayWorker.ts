import { Worker } from "node:worker_threads";
import type { ToHost, ToWorker } from "./workerMessages.js";

/** A gateway in a thread of its own, which can be paused and killed. */
export interface GatewayWorker {
    readonly url: string;
    readonly peerPort: number;
    readonly ready: Promise<void>;
    /** Blocks the gateway for a while; it notices nothing meanwhile. */
    pause(ms: number): Promise<void>;
    /** Ends the gateway without a goodbye. */
    kill(): Promise<void>;
    /** Planned stop. */
    stop(): Promise<void>;
    /** Resolves once the gateway's configuration holds a change. */
    configReached(seq: number): Promise<void>;
}

/**
 * Starts a gateway in a thread of its own.
 *
 * @param settings - The gateway's settings, as they stand in a file
 * @returns the running gateway
 *
 * @example
 * const gateway = await startGatewayWorker({ host: "entry-1", ...rest });
 */
export async function startGatewayWorker(settings: Readonly<Record<string, unknown>>): Promise<GatewayWorker> {
    const worker = new Worker(new URL("./gatewayWorker.js", import.meta.url), { workerData: settings, execArgv: [] });
    const ready = waitFor(worker, message => message.kind === "ready").then(() => undefined);
    ready.catch(() => undefined);
    const started = await waitFor(worker, message => message.kind === "started");
    if (started.kind !== "started") {
        throw new Error("the gateway did not start");
    }
    const tell = async (message: ToWorker, isAnswer: (answer: ToHost) => boolean): Promise<void> => {
        const answered = waitFor(worker, isAnswer);
        worker.postMessage(message);
        await answered;
    };
    return {
        url: started.url,
        peerPort: started.peerPort,
        ready,
        pause: ms => tell({ kind: "pause", ms }, answer => answer.kind === "resumed"),
        kill: async () => {
            await worker.terminate();
        },
        stop: async () => {
            await tell({ kind: "stop" }, answer => answer.kind === "stopped");
            await worker.terminate();
        },
        configReached: seq =>
            tell({ kind: "awaitConfig", seq }, answer => answer.kind === "configReached" && answer.seq === seq),
    };
}

function waitFor(worker: Worker, isWanted: (message: ToHost) => boolean): Promise<ToHost> {
    return new Promise((resolve, reject) => {
        const onMessage = (message: ToHost): void => {
            if (isWanted(message)) {
                worker.removeListener("message", onMessage);
                resolve(message);
            }
        };
        worker.on("message", onMessage);
        worker.once("error", reject);
        worker.once("exit", () => reject(new Error("the gateway's thread ended")));
    });
}
