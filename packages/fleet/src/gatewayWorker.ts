import { gatewaySettingsSchema, startGateway } from "@fulmarcleat/gateway";
import { parentPort, workerData } from "node:worker_threads";
import type { MessageFromWorker, MessageToWorker } from "./workerMessages.js";

/** Size of the shared buffer on which a blocked thread waits, in bytes: one 32-bit integer. */
const INT32_BYTES = 4;

const gateway = await startGateway(gatewaySettingsSchema.parse(workerData));

function send(message: MessageFromWorker): void {
    parentPort?.postMessage(message);
}

/** Blocks the thread, including its timers and sockets, as SIGSTOP blocks a process. */
function blockThread(ms: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(INT32_BYTES)), 0, 0, ms);
}

async function handle(message: MessageToWorker): Promise<void> {
    switch (message.kind) {
        case "pause":
            blockThread(message.ms);
            send({ kind: "resumed" });
            return;
        case "stop":
            await gateway.stop();
            send({ kind: "stopped" });
            return;
        case "awaitConfig":
            await gateway.configReached(message.seq);
            send({ kind: "configReached", seq: message.seq });
            return;
    }
}

parentPort?.on("message", (message: MessageToWorker) => void handle(message));
send({ kind: "started", url: gateway.url, peerPort: gateway.peerPort });
await gateway.ready;
send({ kind: "ready" });
