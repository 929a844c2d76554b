import { ServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId } from "@fulmarcleat/ids";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { computeMac } from "./computeMac.js";
import { createFrameReader } from "./createFrameReader.js";
import { createPendingRequests } from "./createPendingRequests.js";
import type { PendingRequests } from "./createPendingRequests.js";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";
import { isSameMac } from "./isSameMac.js";
import type { ExchangeName, ReplyOf, RequestOf } from "./messages.js";

/** Name and address of a peer. */
export interface PeerAddress {
    readonly host: HostId;
    /** IP address or host name. */
    readonly address: string;
    readonly port: number;
}

/** Identity, key, timeouts and dependencies of a peer client. */
export interface PeerClientOptions {
    /** Name of this host. */
    readonly host: HostId;
    /** Key shared by all peers. */
    readonly peerKey: string;
    /** Certificate authority of the peers as PEM text; plain TCP is used if it is undefined. */
    readonly ca?: string | undefined;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log?: EventLog;
    /**
     * Interval of heartbeats, in milliseconds. If undefined, no heartbeats are sent and a connection is replaced when a
     * reply is overdue; this suits a process with many peers and few requests to each.
     */
    readonly heartbeatMs: number | undefined;
    /** Maximum time without activity on a connection before it is closed, in milliseconds. */
    readonly silenceMs: number;
}

/** Client that sends requests to peers over one connection per peer, opened on demand. */
export interface PeerClient {
    /**
     * Sends a request and waits for its reply. Throws ServeError `peer_failed` with the outcome `not_run` if nothing
     * was sent, and `unknown` otherwise; its cause is the socket's error if the connection could not be opened.
     */
    request<Name extends ExchangeName>(
        to: PeerAddress,
        name: Name,
        body: RequestOf<Name>,
        timeoutMs: number,
    ): Promise<ReplyOf<Name>>;
    /** Closes all connections. */
    close(): void;
}

/** A connection to a peer with its pending requests. */
interface PeerConnection {
    readonly socket: Socket;
    readonly pendingRequests: PendingRequests;
    /** Resolves when both sides have proved that they know the shared key. */
    readonly verified: Promise<void>;
}

/** Length of the random value in a challenge, in bytes. */
const NONCE_BYTES = 16;

/**
 * Creates the client with which a process sends requests to its peers.
 *
 * @param options - Identity, key, timeouts and dependencies
 * @returns the client, without any open connection
 *
 * @example
 * const reply = await peers.request(owner, "place", request, 1000);
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const connections = new Map<string, PeerConnection>();
    return {
        async request(to, name, body, timeoutMs) {
            const connection = getConnection(connections, to, options);
            try {
                await awaitVerified(connection.verified, options.clock, timeoutMs, to.host);
                const { id, reply } = connection.pendingRequests.add(timeoutMs);
                options.metrics.count("peer_asks_sent_total", { name });
                writeFrame(connection.socket, { t: "ask", id, name, body }, options.metrics);
                return await reply as ReplyOf<typeof name>;
            }
            catch (err) {
                // Without heartbeats, an overdue reply is the only sign of an unresponsive connection.
                if (options.heartbeatMs === undefined) {
                    closeConnection(connections, to, connection);
                }
                throw err;
            }
        },
        close() {
            connections.forEach(connection => connection.socket.destroy());
            connections.clear();
        },
    };
}

function getConnection(
    connections: Map<string, PeerConnection>,
    to: PeerAddress,
    options: PeerClientOptions,
): PeerConnection {
    const key = formatKey(to);
    const existing = connections.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const connection = openConnection(to, options, () => closeConnection(connections, to, connection));
    connections.set(key, connection);
    return connection;
}

/** Closes a connection; the next request opens a new one. */
function closeConnection(
    connections: Map<string, PeerConnection>,
    to: PeerAddress,
    connection: PeerConnection,
): void {
    if (connections.get(formatKey(to)) === connection) {
        connections.delete(formatKey(to));
    }
    connection.socket.destroy();
}

function formatKey({ host, address, port }: PeerAddress): string {
    return `${host}|${address}|${port}`;
}

function openConnection(to: PeerAddress, options: PeerClientOptions, remove: () => void): PeerConnection {
    const socket = openSocket(to, options.ca);
    const pendingRequests = createPendingRequests(options.clock, to.host);
    const reader = createFrameReader();
    const nonce = randomBytes(NONCE_BYTES).toString("hex");
    let cancelHeartbeat: CancelTimer = () => undefined;
    let isConnected = false;
    let socketError: Error | undefined;
    const sendHeartbeat = (): void => {
        if (options.heartbeatMs !== undefined) {
            writeFrame(socket, { t: "ping" }, options.metrics);
            cancelHeartbeat = options.clock.setTimer(options.heartbeatMs, sendHeartbeat);
        }
    };
    const verified = new Promise<void>((resolve, reject) => {
        socket.setTimeout(options.silenceMs, () => socket.destroy());
        socket.on("error", err => {
            socketError = err;
            socket.destroy();
        });
        socket.on("close", () => {
            remove();
            cancelHeartbeat();
            if (isConnected) {
                options.log?.write("info", 201, { peer: to.host });
            }
            reject(createError(to.host, "the connection could not be opened", "not_run", socketError));
            pendingRequests.failAll("the connection to the peer was closed");
        });
        const accept = (): void => {
            isConnected = true;
            options.log?.write("info", 200, { peer: to.host });
            resolve();
        };
        socket.on("data", chunk => {
            try {
                const context = { socket, pendingRequests, nonce, to, options, accept, sendHeartbeat };
                reader(chunk).forEach(frame => handleFrame(frame, context));
            }
            catch {
                socket.destroy();
            }
        });
    });
    verified.catch(() => undefined);
    return { socket, pendingRequests, verified };
}

/**
 * Opens a socket to a peer. With TLS the certificate is verified against the authority only; the handshake with the
 * shared key verifies which host it is.
 */
function openSocket(to: PeerAddress, ca: string | undefined): Socket {
    return ca === undefined
        ? connect({ host: to.address, port: to.port, noDelay: true })
        : connectTls({ host: to.address, port: to.port, ca, checkServerIdentity: () => undefined }).setNoDelay(true);
}

/** A connection and the callbacks that handle its frames. */
interface ConnectionContext {
    readonly socket: Socket;
    readonly pendingRequests: PendingRequests;
    readonly nonce: string;
    readonly to: PeerAddress;
    readonly options: PeerClientOptions;
    readonly accept: () => void;
    readonly sendHeartbeat: () => void;
}

function handleFrame(frame: Frame, context: ConnectionContext): void {
    const { peerKey, host, metrics } = context.options;
    switch (frame.t) {
        case "challenge": {
            const mac = computeMac(peerKey, ["client", frame.nonce, context.nonce, host]);
            writeFrame(context.socket, { t: "proof", host, nonce: context.nonce, mac }, metrics);
            return;
        }
        case "welcome":
            if (
                frame.host !== context.to.host
                || !isSameMac(frame.mac, computeMac(peerKey, ["server", context.nonce, frame.host]))
            ) {
                metrics.count("peer_refusals_total", { reason: "unauthenticated" });
                context.socket.destroy();
                return;
            }
            context.accept();
            context.sendHeartbeat();
            return;
        case "reply":
            context.pendingRequests.settle(frame.id, frame.body);
            return;
        case "error":
            context.pendingRequests.fail(frame.id, `${frame.code}: ${frame.message}`);
            return;
        case "pong":
        case "ping":
        case "proof":
        case "ask":
            return;
    }
}

function writeFrame(socket: Socket, frame: Frame, metrics: Metrics): void {
    if (socket.destroyed) {
        return;
    }
    const bytes = encodeFrame(frame);
    metrics.count("peer_sent_bytes_total", {}, bytes.length);
    socket.write(bytes);
}

async function awaitVerified(verified: Promise<void>, clock: Clock, timeoutMs: number, peer: HostId): Promise<void> {
    let cancel: CancelTimer = () => undefined;
    const expired = new Promise<never>((resolve, reject) => {
        cancel = clock.setTimer(
            timeoutMs,
            () => reject(createError(peer, "the peer did not complete the handshake in time", "not_run")),
        );
    });
    try {
        await Promise.race([verified, expired]);
    }
    finally {
        cancel();
    }
}

function createError(peer: HostId, message: string, outcome: "not_run" | "unknown", cause?: Error): ServeError {
    return new ServeError(message, { code: "peer_failed", step: "ask peer", peer, outcome, cause });
}
