import { gatewaySettingsSchema, startGateway } from "@fulmarcleat/gateway";
import { parentPort, workerData } from "node:worker_threads";
import type { ToHost, ToWorker } from "./workerMessages.js";

const BYTES_OF_INT32 = 4;

const gateway = await startGateway(gatewaySettingsSchema.parse(workerData));

function send(message: ToHost): void {
    parentPort?.postMessage(message);
}

/** Blocks the whole thread, timers and sockets included, as a stopped process is blocked. */
function block(ms: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(BYTES_OF_INT32)), 0, 0, ms);
}

async function handle(message: ToWorker): Promise<void> {
    switch (message.kind) {
        case "pause":
            block(message.ms);
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

parentPort?.on("message", (message: ToWorker) => void handle(message));
send({ kind: "started", url: gateway.url, peerPort: gateway.peerPort });
await gateway.ready;
send({ kind: "ready" });
