import { ServeError } from "@fulmarcleat/errors";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";

interface PendingAsk {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: ServeError) => void;
    readonly cancelTimer: CancelTimer;
}

/** Asks of one connection that wait for their replies. */
export interface AskTable {
    /** Adds an ask; the promise rejects after `timeoutMs`. */
    add(timeoutMs: number): { readonly id: number; readonly reply: Promise<unknown> };
    settle(id: number, body: unknown): void;
    fail(id: number, message: string): void;
    /** Fails every pending ask, because the connection is gone. */
    failAll(message: string): void;
    readonly size: number;
}

/**
 * Creates the table of a connection's pending asks.
 *
 * @param clock - Source of time
 * @param peer - Who is asked, for errors
 * @returns the table
 *
 * @example
 * const { id, reply } = table.add(1000);
 */
export function createAskTable(clock: Clock, peer: string): AskTable {
    const pending = new Map<number, PendingAsk>();
    let lastId = 0;
    const fail = (id: number, message: string): void => {
        const ask = take(pending, id);
        ask?.reject(new ServeError(message, { code: "peer_failed", step: "ask peer", peer, outcome: "unknown" }));
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
            take(pending, id)?.resolve(body);
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

function take(pending: Map<number, PendingAsk>, id: number): PendingAsk | undefined {
    const ask = pending.get(id);
    pending.delete(id);
    ask?.cancelTimer();
    return ask;
}
