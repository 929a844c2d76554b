import { ServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId } from "@fulmarcleat/ids";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { computeMac } from "./computeMac.js";
import { createAskTable } from "./createAskTable.js";
import type { AskTable } from "./createAskTable.js";
import { createFrameReader } from "./createFrameReader.js";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";
import { isSameMac } from "./isSameMac.js";
import type { AskOf, ExchangeName, ReplyOf } from "./messages.js";

/** Where a peer listens. */
export interface PeerAddress {
    readonly host: HostId;
    readonly address: string;
    readonly port: number;
}

/** Settings of connections to peers. */
export interface PeerClientOptions {
    readonly host: HostId;
    readonly peerKey: string;
    /** Certificate authority of the peers as PEM text; plain TCP where it is not set. */
    readonly ca?: string | undefined;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log?: EventLog;
    /**
     * Time between heartbeats, in milliseconds. Without them a connection is replaced when a reply is overdue, which
     * suits many peers that are asked seldom.
     */
    readonly heartbeatMs: number | undefined;
    /** Longest silence of a peer before its connection is closed, in milliseconds. */
    readonly silenceMs: number;
}

/** Connections to peers, one for each, opened on demand. */
export interface PeerClient {
    /** Asks a peer; throws ServeError `peer_failed`, `not_run` where nothing was sent, else `unknown`. */
    ask<Name extends ExchangeName>(
        to: PeerAddress,
        name: Name,
        body: AskOf<Name>,
        timeoutMs: number,
    ): Promise<ReplyOf<Name>>;
    close(): void;
}

interface Link {
    readonly socket: Socket;
    readonly asks: AskTable;
    readonly verified: Promise<void>;
}

const NONCE_BYTES = 16;

/**
 * Creates the connections of a process to its peers.
 *
 * @param options - Own name, key and heartbeat
 * @returns the connections
 *
 * @example
 * const reply = await peers.ask(owner, "place", ask, 1000);
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const links = new Map<string, Link>();
    return {
        async ask(to, name, body, timeoutMs) {
            const link = openLink(links, to, options);
            try {
                await withinTimeout(link.verified, options.clock, timeoutMs, to.host);
                const { id, reply } = link.asks.add(timeoutMs);
                options.metrics.count("peer_asks_sent_total", { name });
                writeFrame(link.socket, { t: "ask", id, name, body }, options.metrics);
                return await reply as ReplyOf<typeof name>;
            }
            catch (err) {
                // Without heartbeats an overdue reply is all that shows a silent connection.
                if (options.heartbeatMs === undefined) {
                    dropLink(links, to, link);
                }
                throw err;
            }
        },
        close() {
            links.forEach(link => link.socket.destroy());
            links.clear();
        },
    };
}

function openLink(links: Map<string, Link>, to: PeerAddress, options: PeerClientOptions): Link {
    const key = formatKey(to);
    const present = links.get(key);
    if (present !== undefined) {
        return present;
    }
    const link = connectLink(to, options, () => dropLink(links, to, link));
    links.set(key, link);
    return link;
}

/** Closes a connection; the next ask opens another. */
function dropLink(links: Map<string, Link>, to: PeerAddress, link: Link): void {
    if (links.get(formatKey(to)) === link) {
        links.delete(formatKey(to));
    }
    link.socket.destroy();
}

function formatKey({ host, address, port }: PeerAddress): string {
    return `${host}|${address}|${port}`;
}

function connectLink(to: PeerAddress, options: PeerClientOptions, forget: () => void): Link {
    const socket = openSocket(to, options.ca);
    const asks = createAskTable(options.clock, to.host);
    const reader = createFrameReader();
    const nonce = randomBytes(NONCE_BYTES).toString("hex");
    let cancelHeartbeat: CancelTimer = () => undefined;
    let isConnected = false;
    const beat = (): void => {
        if (options.heartbeatMs !== undefined) {
            writeFrame(socket, { t: "ping" }, options.metrics);
            cancelHeartbeat = options.clock.setTimer(options.heartbeatMs, beat);
        }
    };
    const verified = new Promise<void>((resolve, reject) => {
        socket.setTimeout(options.silenceMs, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            forget();
            cancelHeartbeat();
            if (isConnected) {
                options.log?.write("info", 201, { peer: to.host });
            }
            reject(createError(to.host, "the connection could not be opened", "not_run"));
            asks.failAll("the connection to the peer is gone");
        });
        const accept = (): void => {
            isConnected = true;
            options.log?.write("info", 200, { peer: to.host });
            resolve();
        };
        socket.on("data", chunk => {
            try {
                const link = { socket, asks, nonce, to, options, resolve: accept, beat };
                reader(chunk).forEach(frame => handleFrame(frame, link));
            }
            catch {
                socket.destroy();
            }
        });
    });
    verified.catch(() => undefined);
    return { socket, asks, verified };
}

/** The certificate is checked against the authority; which host it is, the proof of the key shows. */
function openSocket(to: PeerAddress, ca: string | undefined): Socket {
    return ca === undefined
        ? connect({ host: to.address, port: to.port, noDelay: true })
        : connectTls({ host: to.address, port: to.port, ca, checkServerIdentity: () => undefined }).setNoDelay(true);
}

interface LinkContext {
    readonly socket: Socket;
    readonly asks: AskTable;
    readonly nonce: string;
    readonly to: PeerAddress;
    readonly options: PeerClientOptions;
    readonly resolve: () => void;
    readonly beat: () => void;
}

function handleFrame(frame: Frame, link: LinkContext): void {
    const { peerKey, host, metrics } = link.options;
    switch (frame.t) {
        case "challenge": {
            const mac = computeMac(peerKey, ["client", frame.nonce, link.nonce, host]);
            writeFrame(link.socket, { t: "proof", host, nonce: link.nonce, mac }, metrics);
            return;
        }
        case "welcome":
            if (
                frame.host !== link.to.host
                || !isSameMac(frame.mac, computeMac(peerKey, ["server", link.nonce, frame.host]))
            ) {
                metrics.count("peer_refusals_total", { reason: "unauthenticated" });
                link.socket.destroy();
                return;
            }
            link.resolve();
            link.beat();
            return;
        case "reply":
            link.asks.settle(frame.id, frame.body);
            return;
        case "error":
            link.asks.fail(frame.id, `${frame.code}: ${frame.message}`);
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

async function withinTimeout(verified: Promise<void>, clock: Clock, timeoutMs: number, peer: HostId): Promise<void> {
    let cancel: CancelTimer = () => undefined;
    const expired = new Promise<never>((resolve, reject) => {
        cancel = clock.setTimer(
            timeoutMs,
            () => reject(createError(peer, "the peer did not verify in time", "not_run")),
        );
    });
    try {
        await Promise.race([verified, expired]);
    }
    finally {
        cancel();
    }
}

function createError(peer: HostId, message: string, outcome: "not_run" | "unknown"): ServeError {
    return new ServeError(message, { code: "peer_failed", step: "ask peer", peer, outcome });
}
