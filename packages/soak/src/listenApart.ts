import { listen } from "@fulmarcleat/http";
import type { Server } from "node:net";

/** Ports below those that the kernel gives to connections, which begin at 32768, and beside those of other test tools. */
const PORTS = { first: 11_000, count: 9000 } as const;
/** Distance of the ports that processes of consecutive ids begin to look at. */
const PROCESS_STEP = 61;
let tried = 0;

/**
 * Lets a server listen on a loopback port that the kernel gives to no connection, so that the server can close and find
 * its port free when it listens again.
 *
 * @param server - A TCP server
 * @returns the port
 * @throws the server's error if it can't listen for another reason than a port in use, or if all ports are in use
 *
 * @example
 * const port = await listenApart(createServer());
 */
export async function listenApart(server: Server): Promise<number> {
    for (let step = 0;; step += 1) {
        tried += 1;
        const port = PORTS.first + (process.pid * PROCESS_STEP + tried) % PORTS.count;
        try {
            return await listen(server, { host: "127.0.0.1", port });
        }
        catch (err) {
            if ((err as NodeJS.ErrnoException).code !== "EADDRINUSE" || step >= PORTS.count) {
                throw err;
            }
        }
    }
}
