import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Code of the error that a reset connection ends with. */
const CONNECTION_RESET = "CONNECTION_RESET";

/** Buffer sizes of a socket that stops reading after each chunk. */
const CHUNK_AT_A_TIME = { highWaterMark: undefined, readableHighWaterMark: 1 };

/**
 * Builds a connector for undici whose connections fail when they are reset. With undici's own connector, a reset after
 * the head of a response without a content length and chunks ends that response as if it were complete.
 *
 * @param options - Timeout for opening a connection, in milliseconds
 * @returns the connector, for the option `connect` of a client, pool or agent
 *
 * @example
 * const agent = new Agent({ connect: buildResetConnector({ timeout: 250 }) });
 */
export function buildResetConnector(options: { readonly timeout: number }): buildConnector.connector {
    const connect = buildConnector({ ...options, ...CHUNK_AT_A_TIME });
    return (target, callback) => {
        connect(target, (...result) => {
            if (result[0] === null) {
                const socket: Socket = result[1];
                // undici's own listener runs later and treats only ECONNRESET as the end of a response.
                socket.on("error", (err: NodeJS.ErrnoException) => {
                    if (err.code === "ECONNRESET") {
                        err.code = CONNECTION_RESET;
                    }
                });
                deferReads(socket);
            }
            callback(...result);
        });
    };
}

/**
 * Starts each read of a socket in a new turn of the event loop. If Node.js continues to read in the same turn, it
 * reports a reset that arrives together with the last bytes as a normal end.
 */
function deferReads(socket: Socket): void {
    const startReading = socket._read.bind(socket);
    socket._read = size => void setImmediate(startReading, size);
}
