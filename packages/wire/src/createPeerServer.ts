import { toServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { listen } from "@fulmarcleat/http";
import type { Clock, HostId } from "@fulmarcleat/ids";
import { randomBytes } from "node:crypto";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { createServer as createTlsServer } from "node:tls";
import { computeMac } from "./computeMac.js";
import { createFrameReader } from "./createFrameReader.js";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";
import { isSameMac } from "./isSameMac.js";
import type { ExchangeName, ReplyOf, RequestOf } from "./messages.js";

/** Handlers of the exchanges that a process supports. */
export type PeerHandlers = {
    readonly [Name in ExchangeName]?: (request: RequestOf<Name>, from: HostId) => Promise<ReplyOf<Name>>;
};

/** Identity, key, address, handlers and dependencies of a peer server. */
export interface PeerServerOptions {
    /** Name of this host. */
    readonly host: HostId;
    /** Key shared by all peers. */
    readonly peerKey: string;
    /** Address and port to listen on; port 0 selects a free port. */
    readonly listen: { readonly host: string; readonly port: number };
    /** Certificate and private key as PEM text; plain TCP is used if it is undefined. */
    readonly tls?: { readonly cert: string; readonly key: string } | undefined;
    readonly handlers: PeerHandlers;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log?: EventLog;
    /** Maximum time without activity on a connection before it is closed, in milliseconds. */
    readonly silenceMs: number;
}

/** A running listener for peers. */
export interface PeerServer {
    readonly port: number;
    /** Stops listening and closes all connections. */
    close(): Promise<void>;
}

/** Length of the random value in a challenge, in bytes. */
const NONCE_BYTES = 16;
/** Maximum length of a frame before the peer has proved that it knows the key, in bytes. */
const UNVERIFIED_FRAME_BYTES = 4096;

/**
 * Listens for peers, verifies them and replies to their requests.
 *
 * @param options - Identity, key, address, handlers and dependencies
 * @returns the running listener
 *
 * @example
 * const server = await createPeerServer({ host, peerKey, listen, handlers, clock, metrics, silenceMs: 6000 });
 */
export async function createPeerServer(options: PeerServerOptions): Promise<PeerServer> {
    const sockets = new Set<Socket>();
    const serve = (socket: Socket): void => serveSocket(socket, options);
    const server: Server = options.tls === undefined
        ? createServer({ noDelay: true }, serve)
        : createTlsServer({ ...options.tls, noDelay: true, handshakeTimeout: options.silenceMs }, serve);
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    const port = await listen(server, options.listen);
    return {
        port,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
}

function serveSocket(socket: Socket, options: PeerServerOptions): void {
    const nonce = randomBytes(NONCE_BYTES).toString("hex");
    let from: HostId | undefined;
    let reader = createFrameReader({ maxBytes: UNVERIFIED_FRAME_BYTES });
    socket.setTimeout(options.silenceMs, () => socket.destroy());
    socket.on("error", () => socket.destroy());
    socket.on("data", chunk => {
        try {
            for (const frame of reader(chunk)) {
                if (from === undefined) {
                    from = verifyProof(frame, nonce, options);
                    reader = createFrameReader();
                    send(socket, buildWelcome(frame, options));
                }
                else {
                    answerFrame(socket, frame, from, options);
                }
            }
        }
        catch (err) {
            const { code } = toServeError(err, INTERNAL_ERROR);
            options.metrics.count("peer_refusals_total", { reason: code });
            options.log?.write("warn", 202, { reason: code, from: from ?? socket.remoteAddress });
            socket.destroy();
        }
    });
    send(socket, { t: "challenge", nonce });
}

/** Details for errors that are not a ServeError. */
const INTERNAL_ERROR = { code: "internal", step: "serve peer", peer: "unverified", outcome: "not_run" } as const;

function verifyProof(frame: Frame, nonce: string, options: PeerServerOptions): HostId {
    if (
        frame.t === "proof"
        && isSameMac(frame.mac, computeMac(options.peerKey, ["client", nonce, frame.nonce, frame.host]))
    ) {
        return frame.host;
    }
    throw toServeError("the peer did not prove that it knows the shared key", {
        code: "unauthenticated",
        step: "verify peer",
        peer: "unverified",
        outcome: "not_run",
    });
}

function buildWelcome(proof: Frame, options: PeerServerOptions): Frame {
    const clientNonce = proof.t === "proof" ? proof.nonce : "";
    return {
        t: "welcome",
        host: options.host,
        mac: computeMac(options.peerKey, ["server", clientNonce, options.host]),
    };
}

function answerFrame(socket: Socket, frame: Frame, from: HostId, options: PeerServerOptions): void {
    switch (frame.t) {
        case "ping":
            send(socket, { t: "pong" });
            return;
        case "ask":
            void answerRequest(socket, frame, from, options);
            return;
        case "pong":
        case "challenge":
        case "proof":
        case "welcome":
        case "reply":
        case "error":
            return;
    }
}

async function answerRequest(
    socket: Socket,
    frame: Extract<Frame, { t: "ask" }>,
    from: HostId,
    options: PeerServerOptions,
): Promise<void> {
    const handler = Object.hasOwn(options.handlers, frame.name)
        ? options.handlers[frame.name] as ((request: unknown, from: HostId) => Promise<unknown>) | undefined
        : undefined;
    options.metrics.count("peer_asks_total", { name: frame.name });
    try {
        if (handler === undefined) {
            send(socket, { t: "error", id: frame.id, code: "not_found", message: `no handler for ${frame.name}` });
            return;
        }
        send(socket, { t: "reply", id: frame.id, body: await handler(frame.body, from) });
    }
    catch (err) {
        const { code, message } = toServeError(err, INTERNAL_ERROR);
        send(socket, { t: "error", id: frame.id, code, message });
    }
}

function send(socket: Socket, frame: Frame): void {
    if (!socket.destroyed) {
        socket.write(encodeFrame(frame));
    }
}
