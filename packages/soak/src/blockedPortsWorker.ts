import { once } from "node:events";
import { createServer } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

// Listens on ports without ever accepting a connection: the thread sleeps until the gate opens.
const { gate, ports } = workerData as { readonly gate: Int32Array; readonly ports: readonly number[] };

for (const port of ports) {
    await once(createServer().listen({ host: "127.0.0.1", port, backlog: 1 }), "listening");
}
parentPort?.postMessage("listening");
Atomics.wait(gate, 0, 0);
process.exit();
