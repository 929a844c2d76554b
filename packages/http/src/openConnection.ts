import { connect } from "node:net";

/** What became of an attempt to open a connection. */
export type ConnectionAttempt = "failed" | "opened" | "refused";

/**
 * Opens a connection and closes it again without sending anything.
 *
 * @param address - IP address and port
 * @param timeoutMs - Time after which the attempt has failed, in milliseconds
 * @returns whether the connection opened, was refused, or failed in another way
 *
 * @example
 * const attempt = await openConnection({ ip: "127.0.0.1", port: 80 }, 250);
 */
export function openConnection(
    { ip, port }: { readonly ip: string; readonly port: number },
    timeoutMs: number,
): Promise<ConnectionAttempt> {
    return new Promise(resolve => {
        const socket = connect({ host: ip, port });
        const finish = (attempt: ConnectionAttempt): void => {
            resolve(attempt);
            socket.destroy();
        };
        socket.setTimeout(timeoutMs, () => finish("failed"));
        socket.on("connect", () => finish("opened"));
        socket.on("error", err => finish(isConnectionRefused(err) ? "refused" : "failed"));
    });
}

/**
 * Tells whether an error says that a connection was refused.
 *
 * @param err - The error of a connection
 * @returns whether nothing listens at its address
 *
 * @example
 * const isGone = isConnectionRefused(err);
 */
export function isConnectionRefused(err: unknown): boolean {
    return err instanceof Error && "code" in err && err.code === "ECONNREFUSED";
}
