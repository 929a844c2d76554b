import { listen } from "@fulmarcleat/http";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { listenApart } from "./listenApart.js";

/** How a proxy treats the connections through it. */
export type LinkMode =
    | "open"
    /** Bytes are delayed, in order. */
    | "delayed"
    /** Nothing is forwarded in either direction; connections stay open. */
    | "silent"
    /** Bytes to the server are forwarded, its responses are not. */
    | "deaf"
    /** New connections are reset. */
    | "refused";

/** A TCP proxy on the loopback address in front of one server. */
export interface LoopbackProxy {
    readonly port: number;
    setMode(mode: LinkMode): void;
    /** Silences every open connection for good, without closing it; new ones work. */
    silence(): void;
    /** Resets every open connection. */
    reset(): void;
    /** Frees the port; open connections go on. */
    stopListening(): void;
    /** Takes the port again. */
    listenAgain(): Promise<void>;
    close(): void;
}

/** Delay of bytes in mode "delayed", in milliseconds; above what a slow link of the platform adds. */
const DELAY_MS = 120;
/** How often the mode is checked while bytes are held back, in milliseconds. */
const MODE_POLL_MS = 20;

/**
 * Starts a TCP proxy that forwards bytes as its mode allows.
 *
 * @param targetPort - Port of the server on the loopback address
 * @returns the running proxy, in mode "open"
 *
 * @example
 * const proxy = await createLoopbackProxy(store.port);
 */
export async function createLoopbackProxy(targetPort: number): Promise<LoopbackProxy> {
    let mode: LinkMode = "open";
    const sockets = new Set<Socket>();
    const silentSockets = new WeakSet<Socket>();
    const track = (socket: Socket): void => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    };
    const forward = (from: Socket, to: Socket, isResponse: boolean): void => {
        let lastWrite = Promise.resolve();
        from.on("data", chunk => {
            if (silentSockets.has(from)) {
                return;
            }
            lastWrite = lastWrite.then(() => waitForMode(isResponse)).then(() =>
                void (to.destroyed || to.write(chunk))
            );
        });
        from.on("end", () => void lastWrite.then(() => to.end()));
        from.on("error", () => to.resetAndDestroy());
        from.on("close", () => void lastWrite.then(() => to.destroy()));
    };
    const waitForMode = async (isResponse: boolean): Promise<void> => {
        if (mode === "delayed") {
            await wait(DELAY_MS);
        }
        while (mode === "silent" || mode === "deaf" && isResponse) {
            await wait(MODE_POLL_MS);
        }
    };
    const server = createServer({ allowHalfOpen: true, noDelay: true }, client => {
        client.on("error", () => undefined);
        if (mode === "refused") {
            client.resetAndDestroy();
            return;
        }
        const upstream = connect({ port: targetPort, host: "127.0.0.1", allowHalfOpen: true, noDelay: true });
        track(client);
        track(upstream);
        forward(client, upstream, false);
        forward(upstream, client, true);
    });
    const port = await listenApart(server);
    return {
        port,
        setMode: next => void (mode = next),
        silence: () => sockets.forEach(socket => silentSockets.add(socket)),
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
        stopListening: () => void server.close(),
        async listenAgain() {
            await listen(server, { host: "127.0.0.1", port });
        },
        close() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
