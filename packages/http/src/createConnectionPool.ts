import type { EngineTarget } from "@fulmarcleat/directory";
import { Client } from "undici";
import { buildResetConnector } from "./buildResetConnector.js";

/** One connection to an engine; it carries one request at a time. */
export interface PooledConnection {
    readonly client: Client;
    /** Ids of the requests that the engine has refused on it; a second copy of such a refusal may still arrive. */
    readonly refusedIds: Set<string>;
    /** Whether it has carried a complete answer. */
    hasAnswered: boolean;
}

/** A pool of connections to one engine. */
export interface ConnectionPool {
    /** Returns the most recently used idle connection on which this request was never refused, or a new one. */
    acquire(requestId: string): PooledConnection;
    /** Returns a connection to the pool after its response is complete. */
    release(connection: PooledConnection): void;
    /** Closes a connection and removes it from the pool. */
    discard(connection: PooledConnection): void;
    /** Closes all idle connections. */
    close(): void;
}

/** Timeouts and limits of a connection pool. */
export interface ConnectionPoolOptions {
    /** Timeout for opening a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Time after which an idle connection is closed, in milliseconds; engines may close it earlier. */
    readonly idleMs: number;
    /** Most idle connections that are kept to one engine. */
    readonly idleConnections: number;
}

/**
 * Creates a pool of connections to one engine; connections are opened on demand.
 *
 * @param target - Id and address of the engine
 * @param options - Timeouts and limits
 * @returns the pool, without any open connection
 *
 * @example
 * const pool = createConnectionPool(target, { connectTimeoutMs: 250, idleMs: 4000, idleConnections: 16 });
 * const connection = pool.acquire(req.requestId);
 */
export function createConnectionPool(target: EngineTarget, options: ConnectionPoolOptions): ConnectionPool {
    const idle: PooledConnection[] = [];
    const connect = buildResetConnector({ timeout: options.connectTimeoutMs });
    const open = (): PooledConnection => {
        const client = new Client(`http://${target.address.ip}:${target.address.port}`, {
            pipelining: 1,
            keepAliveTimeout: options.idleMs,
            keepAliveMaxTimeout: options.idleMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect,
        });
        const connection: PooledConnection = { client, refusedIds: new Set(), hasAnswered: false };
        client.on("disconnect", () => remove(connection));
        return connection;
    };
    const remove = (connection: PooledConnection): void => {
        const at = idle.indexOf(connection);
        if (at >= 0) {
            idle.splice(at, 1);
        }
    };
    const discard = (connection: PooledConnection): void => {
        remove(connection);
        void connection.client.destroy();
    };
    return {
        acquire(requestId) {
            const connection = idle.findLast(({ refusedIds }) => !refusedIds.has(requestId));
            if (connection === undefined) {
                return open();
            }
            remove(connection);
            return connection;
        },
        release(connection) {
            if (idle.length < options.idleConnections && !connection.client.destroyed) {
                idle.push(connection);
            }
            else {
                discard(connection);
            }
        },
        discard,
        close: () => [...idle].forEach(discard),
    };
}
