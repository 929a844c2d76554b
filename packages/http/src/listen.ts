import type { Server } from "node:net";

/**
 * Has a server listen.
 *
 * @param server - The server, also one for HTTP or TLS
 * @param address - Where; port 0 for a free one
 * @returns the port
 * @throws the server's error where it can't listen there
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
