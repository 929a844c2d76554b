import { ServeError } from "@fulmarcleat/errors";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";

/** A request whose reply has not arrived. */
interface PendingRequest {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: ServeError) => void;
    readonly cancelTimer: CancelTimer;
}

/** Requests of one connection whose replies have not arrived. */
export interface PendingRequests {
    /** Adds a request; its promise rejects after `timeoutMs` milliseconds. */
    add(timeoutMs: number): { readonly id: number; readonly reply: Promise<unknown> };
    /** Resolves the promise of a request with the body of the reply; ignores unknown ids. */
    settle(id: number, body: unknown): void;
    /** Rejects the promise of a request; ignores unknown ids. */
    fail(id: number, message: string): void;
    /** Rejects all promises, because the connection was closed. */
    failAll(message: string): void;
    /** Number of pending requests. */
    readonly size: number;
}

/**
 * Creates the table of a connection's pending requests.
 *
 * @param clock - Time source for the request timeouts
 * @param peer - Name of the peer for error messages
 * @returns the empty table
 *
 * @example
 * const { id, reply } = createPendingRequests(clock, "entry-1").add(1000);
 */
export function createPendingRequests(clock: Clock, peer: string): PendingRequests {
    const pending = new Map<number, PendingRequest>();
    let lastId = 0;
    const fail = (id: number, message: string): void => {
        const request = remove(pending, id);
        request?.reject(new ServeError(message, { code: "peer_failed", step: "ask peer", peer, outcome: "unknown" }));
    };
    return {
        add(timeoutMs) {
            lastId += 1;
            const id = lastId;
            const reply = new Promise<unknown>((resolve, reject) => {
                pending.set(id, {
                    resolve,
                    reject,
                    cancelTimer: clock.setTimer(timeoutMs, () => fail(id, "the peer did not reply in time")),
                });
            });
            return { id, reply };
        },
        settle(id, body) {
            remove(pending, id)?.resolve(body);
        },
        fail,
        failAll(message) {
            for (const id of [...pending.keys()]) {
                fail(id, message);
            }
        },
        get size() {
            return pending.size;
        },
    };
}

function remove(pending: Map<number, PendingRequest>, id: number): PendingRequest | undefined {
    const request = pending.get(id);
    pending.delete(id);
    request?.cancelTimer();
    return request;
}
