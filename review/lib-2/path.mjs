// A path from one machine to one server: a proxy that can be cut and healed.
import { connect, createServer } from "node:net";
import { listen } from "./engine.mjs";

/** Opens a path. While it is cut, open channels have been reset and new ones are reset. */
export async function openPath(targetPort) {
    const sockets = new Set();
    let isCut = false;
    const track = socket => {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
    };
    const server = createServer(from => {
        if (isCut) {
            from.on("error", () => undefined);
            from.resetAndDestroy();
            return;
        }
        const to = connect(targetPort, "127.0.0.1");
        track(from);
        track(to);
        from.pipe(to);
        to.pipe(from);
        from.on("close", () => to.destroy());
        to.on("close", () => from.destroy());
    });
    const port = await listen(server);
    const reset = () => sockets.forEach(socket => socket.resetAndDestroy());
    return {
        port,
        reset,
        cut() {
            isCut = true;
            reset();
        },
        heal: () => void (isCut = false),
        close() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
