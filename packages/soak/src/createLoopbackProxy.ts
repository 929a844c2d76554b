import { listen } from "@fulmarcleat/http";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";

/** What a proxy does to the connections that pass it. */
export type LinkMode =
    | "open"
    /** Bytes arrive late, in order. */
    | "delayed"
    /** Nothing passes either way, without a reset. */
    | "silent"
    /** Bytes to the server pass, its answers don't. */
    | "deaf"
    /** New connections are reset. */
    | "refused";

/** A proxy on the loopback address before one server. */
export interface LoopbackProxy {
    readonly port: number;
    setMode(mode: LinkMode): void;
    /** Resets every connection that is open. */
    reset(): void;
    close(): void;
}

/** How late bytes are on a delayed link, in milliseconds; above what a slow link of the platform adds. */
const DELAY_MS = 120;
/** How often held bytes are looked at, in milliseconds. */
const HOLD_MS = 20;

/**
 * Starts a proxy that passes on what it receives, as well as its mode allows.
 *
 * @param targetPort - Port of the server on the loopback address
 * @returns the running proxy
 *
 * @example
 * const proxy = await createLoopbackProxy(store.port);
 */
export async function createLoopbackProxy(targetPort: number): Promise<LoopbackProxy> {
    let mode: LinkMode = "open";
    const sockets = new Set<Socket>();
    const track = (socket: Socket): void => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    };
    const pass = (from: Socket, to: Socket, isAnswer: boolean): void => {
        let last = Promise.resolve();
        from.on("data", chunk => {
            last = last.then(() => hold(isAnswer)).then(() => void (to.destroyed || to.write(chunk)));
        });
        from.on("end", () => void last.then(() => to.end()));
        from.on("error", () => to.resetAndDestroy());
        from.on("close", () => void last.then(() => to.destroy()));
    };
    const hold = async (isAnswer: boolean): Promise<void> => {
        if (mode === "delayed") {
            await wait(DELAY_MS);
        }
        while (mode === "silent" || mode === "deaf" && isAnswer) {
            await wait(HOLD_MS);
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
        pass(client, upstream, false);
        pass(upstream, client, true);
    });
    const port = await listen(server, { host: "127.0.0.1", port: 0 });
    return {
        port,
        setMode: next => void (mode = next),
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
        close() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
