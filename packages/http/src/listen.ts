import type { Server } from "node:net";

/**
 * Starts a server on an address.
 *
 * @param server - A TCP, TLS or HTTP server
 * @param address - Host and port to listen on; port 0 chooses a free port
 * @returns the port that the server listens on
 * @throws the server's error if it can't listen on the address
 *
 * @example
 * const port = await listen(createServer(), { host: "127.0.0.1", port: 0 });
 */
export function listen(
    server: Server,
    { host, port }: { readonly host: string; readonly port: number },
): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.removeListener("error", reject);
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : port);
        });
    });
}
