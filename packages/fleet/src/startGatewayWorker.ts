import { Worker } from "node:worker_threads";
import type { MessageFromWorker, MessageToWorker } from "./workerMessages.js";

/** A gateway in a worker thread, which can be paused and killed. */
export interface GatewayWorker {
    readonly url: string;
    readonly peerPort: number;
    /** Resolves once the gateway is ready to serve. */
    readonly ready: Promise<void>;
    /** Blocks the whole gateway for `ms` milliseconds; resolves once it runs again. */
    pause(ms: number): Promise<void>;
    /** Terminates the thread without a graceful stop, as a crash does. */
    kill(): Promise<void>;
    /** Stops the gateway gracefully and ends its thread. */
    stop(): Promise<void>;
    /** Resolves once the configuration of the gateway contains change `seq`. */
    configReached(seq: number): Promise<void>;
}

/**
 * Starts a gateway in a worker thread.
 *
 * @param settings - Settings of the gateway, as in its settings file
 * @returns the running gateway
 *
 * @example
 * const gateway = await startGatewayWorker({ host: "entry-1", ...rest });
 */
export async function startGatewayWorker(settings: Readonly<Record<string, unknown>>): Promise<GatewayWorker> {
    const worker = new Worker(new URL("./gatewayWorker.js", import.meta.url), { workerData: settings, execArgv: [] });
    const ready = waitForMessage(worker, message => message.kind === "ready").then(() => undefined);
    ready.catch(() => undefined);
    const started = await waitForMessage(worker, message => message.kind === "started");
    if (started.kind !== "started") {
        throw new Error("the gateway did not report that it started");
    }
    const sendAndWait = async (
        message: MessageToWorker,
        isAnswer: (answer: MessageFromWorker) => boolean,
    ): Promise<void> => {
        const answered = waitForMessage(worker, isAnswer);
        worker.postMessage(message);
        await answered;
    };
    return {
        url: started.url,
        peerPort: started.peerPort,
        ready,
        pause: ms => sendAndWait({ kind: "pause", ms }, answer => answer.kind === "resumed"),
        kill: async () => {
            await worker.terminate();
        },
        stop: async () => {
            await sendAndWait({ kind: "stop" }, answer => answer.kind === "stopped");
            await worker.terminate();
        },
        configReached: seq =>
            sendAndWait({ kind: "awaitConfig", seq }, answer => answer.kind === "configReached" && answer.seq === seq),
    };
}

function waitForMessage(
    worker: Worker,
    isExpected: (message: MessageFromWorker) => boolean,
): Promise<MessageFromWorker> {
    return new Promise((resolve, reject) => {
        const onMessage = (message: MessageFromWorker): void => {
            if (isExpected(message)) {
                worker.removeListener("message", onMessage);
                resolve(message);
            }
        };
        worker.on("message", onMessage);
        worker.once("error", reject);
        worker.once("exit", () => reject(new Error("the worker thread of the gateway exited")));
    });
}
