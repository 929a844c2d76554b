import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";

/** Ports at which connections hang while they are opened. */
export interface BlockedPorts {
    /** Frees the ports. */
    release(): Promise<void>;
}

const WORKER = new URL("../dist/blockedPortsWorker.js", import.meta.url);
/** Connections that the kernel completes for a listener that accepts none and has a backlog of 1. */
const QUEUED_CONNECTIONS = 2;

/**
 * Lets connections to ports of the loopback address hang while they are opened, as without a path to the server. The
 * listener accepts none, and its queue is full.
 *
 * @param ports - Ports without a listener
 * @returns the blocked ports
 *
 * @example
 * const blocked = await blockPorts([port]);
 * await blocked.release();
 */
export async function blockPorts(ports: readonly number[]): Promise<BlockedPorts> {
    const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(WORKER, { workerData: { gate, ports }, execArgv: [] });
    await once(worker, "message");
    const queued = ports.flatMap(port =>
        Array.from(
            { length: QUEUED_CONNECTIONS },
            () => connect({ host: "127.0.0.1", port }).on("error", () => undefined),
        )
    );
    return {
        async release() {
            const exited = once(worker, "exit");
            Atomics.store(gate, 0, 1);
            Atomics.notify(gate, 0);
            await exited;
            queued.forEach(socket => socket.destroy());
        },
    };
}
