import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Creates a function that closes a server's idle connections. Unlike `closeIdleConnections` of Node.js, it spares
 * connections on which an answer has ended but still waits to be sent.
 *
 * @param server - HTTP server that has no connection yet
 * @returns the function
 *
 * @example
 * const closeIdle = createIdleCloser(server);
 */
export function createIdleCloser(server: Server): () => void {
    /** Requests without a whole answer, by connection. */
    const open = new WeakMap<Socket, number>();
    /** Bytes that had been read from a connection when its last answer was sent. */
    const idle = new Map<Socket, number>();
    server.on("connection", socket => {
        socket.on("close", () => idle.delete(socket));
    });
    server.on("request", ({ socket }, res) => {
        open.set(socket, (open.get(socket) ?? 0) + 1);
        idle.delete(socket);
        res.on("finish", () => {
            const left = (open.get(socket) ?? 1) - 1;
            open.set(socket, left);
            if (left === 0 && !socket.destroyed) {
                idle.set(socket, socket.bytesRead);
            }
        });
    });
    return () =>
        idle.forEach((bytesRead, socket) => {
            if (socket.bytesRead === bytesRead && socket.writableLength === 0) {
                socket.destroy();
            }
        });
}
