import type { EngineAnswerHead } from "@fulmarcleat/directory";
import type { ServerResponse } from "node:http";
import { findEventsEnd } from "./findEventsEnd.js";
import { readMediaType } from "./readMediaType.js";

/** Streams one engine's answer to the client. */
export interface AnswerRelay {
    /** Whether anything has been sent to the client, or is held for it. */
    readonly hasStarted: boolean;
    /**
     * While bytes are held, resolves to whether they have been sent. Otherwise they have been discarded, and the answer
     * has not started; undefined while nothing is held.
     */
    readonly settling: Promise<boolean> | undefined;
    /** Media type of the answer that began; undefined if it stated none. */
    readonly mediaType: string | undefined;
    /** Id of the last complete event that was sent to the client. */
    readonly lastEventId: string | undefined;
    /** Whether the last byte received belongs to an event that is not complete. */
    readonly isInsideEvent: boolean;
    /** Whether the event that is not complete is larger than any is, so that the bytes can't be those of a stream. */
    readonly isEventTooLarge: boolean;
    /** Sets the head of the answer, until bytes have been sent; later heads of a resumed stream are ignored. */
    begin(head: EngineAnswerHead): void;
    /**
     * Writes bytes to the client; returns false while the client's buffer is full or bytes are held.
     * `beforeStart` is called before the first bytes are sent. They are held until a promise that it returns resolves to
     * whether they may be sent.
     */
    write(bytes: Buffer, beforeStart?: () => Promise<boolean> | undefined): boolean;
    /** Calls a listener once when the relay accepts bytes again. */
    onDrain(listener: () => void): void;
    /** Sends the remaining bytes and ends the response. */
    end(): void;
    /** Closes the connection before the end of the answer, so that the client detects that it is incomplete. */
    abort(): void;
    /** Discards an incomplete event before the stream resumes at another engine. */
    discardPartialEvent(): void;
}

/** Settings of a relay. */
export interface AnswerRelayOptions {
    /** Whether only complete events are sent, so that another engine can resume the stream. */
    readonly sendsCompleteEvents: boolean;
    /** Whether the connection is closed after this answer. */
    readonly isClosing: () => boolean;
}

/** What is sent to the client once its first bytes are no longer held. */
interface HeldAnswer {
    readonly settling: Promise<boolean>;
    readonly chunks: Buffer[];
    readonly drainListeners: (() => void)[];
    isEnded: boolean;
}

/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 262_144;
/** Length of the longest text and line ends that the next byte may turn into the end of an event: `a\r\n\r`. */
const MAX_OPEN_END_BYTES = 4;
const LINE_ENDS: ReadonlySet<number> = new Set(Buffer.from("\r\n"));
const ID_LINES = /^id:[ ]?(.*)$/gm;

/**
 * Creates the relay of one answer; the head is sent together with the first bytes.
 *
 * @param res - Response to the client
 * @param options - Whether only complete events are sent and whether the connection is closed
 * @returns the relay
 *
 * @example
 * const relay = createAnswerRelay(res, { sendsCompleteEvents: route.isResumable, isClosing });
 */
export function createAnswerRelay(res: ServerResponse, options: AnswerRelayOptions): AnswerRelay {
    let head: EngineAnswerHead | undefined;
    let isHeadSent = false;
    let lastEventId: string | undefined;
    let partial: Buffer = Buffer.alloc(0);
    let held: HeldAnswer | undefined;
    const release = ({ chunks, drainListeners, isEnded }: HeldAnswer): void => {
        if (res.destroyed) {
            return;
        }
        writeHeadOnce();
        const canTakeMore = res.write(Buffer.concat(chunks));
        if (isEnded) {
            res.end();
        }
        drainListeners.forEach(listener => canTakeMore ? listener() : res.once("drain", listener));
    };
    const settle = (isSent: boolean): void => {
        const settled = held;
        held = undefined;
        if (isSent && settled !== undefined) {
            release(settled);
            return;
        }
        head = undefined;
        lastEventId = undefined;
        partial = Buffer.alloc(0);
    };
    const writeHeadOnce = (): void => {
        if (!isHeadSent && head !== undefined) {
            isHeadSent = true;
            const forwarded = options.sendsCompleteEvents ? removeLength(head) : head;
            writeAnswerHead(res, forwarded, options.isClosing());
        }
    };
    const write = (bytes: Buffer, beforeStart?: () => Promise<boolean> | undefined): boolean => {
        const ready = isHeadSent || held !== undefined ? undefined : beforeStart?.();
        if (ready !== undefined) {
            // Whatever went wrong with the record, a ready answer isn't withheld.
            const settling = ready.catch(() => true).then(isSent => {
                settle(isSent);
                return isSent;
            });
            held = { settling, chunks: [], drainListeners: [], isEnded: false };
        }
        if (held !== undefined) {
            held.chunks.push(bytes);
            return false;
        }
        writeHeadOnce();
        return res.write(bytes);
    };
    return {
        get hasStarted() {
            return isHeadSent || held !== undefined;
        },
        get settling() {
            return held?.settling;
        },
        get mediaType() {
            return head === undefined ? undefined : readMediaType(head);
        },
        get lastEventId() {
            return lastEventId;
        },
        get isInsideEvent() {
            return partial.some(byte => !LINE_ENDS.has(byte));
        },
        get isEventTooLarge() {
            return partial.length > MAX_EVENT_BYTES;
        },
        begin(next) {
            if (!isHeadSent && held === undefined) {
                head = next;
            }
        },
        write(bytes, beforeStart) {
            const all = partial.length === 0 ? bytes : Buffer.concat([partial, bytes]);
            const complete = all.subarray(0, findEventsEnd(all));
            partial = all.subarray(complete.length);
            if (!options.sendsCompleteEvents) {
                partial = partial.subarray(-MAX_OPEN_END_BYTES);
                return write(bytes, beforeStart);
            }
            if (complete.length === 0) {
                return true;
            }
            lastEventId = findLastEventId(complete) ?? lastEventId;
            return write(complete, beforeStart);
        },
        onDrain(listener) {
            if (held === undefined) {
                res.once("drain", listener);
            }
            else {
                held.drainListeners.push(listener);
            }
        },
        end() {
            if (options.sendsCompleteEvents && partial.length > 0) {
                write(partial);
            }
            if (held !== undefined) {
                held.isEnded = true;
                return;
            }
            writeHeadOnce();
            res.end();
        },
        abort: () => void res.destroy(),
        discardPartialEvent: () => void (partial = Buffer.alloc(0)),
    };
}

/**
 * Writes the head of an engine's answer to the client.
 *
 * @param res - Response to the client
 * @param head - Status and headers from the engine
 * @param isClosing - Whether the connection is closed after this answer
 * @returns nothing
 *
 * @example
 * writeAnswerHead(res, head, false);
 */
export function writeAnswerHead(res: ServerResponse, head: EngineAnswerHead, isClosing: boolean): void {
    res.sendDate = false;
    const headers = [...head.headers];
    if (isClosing) {
        headers.push("Connection", "close");
    }
    res.writeHead(head.status, headers);
}

/** Removes the length of the engine's answer, as another engine may send the rest of the stream in other bytes. */
function removeLength(head: EngineAnswerHead): EngineAnswerHead {
    const { headers } = head;
    const isKept = (at: number): boolean => headers[at - at % 2]?.toLowerCase() !== "content-length";
    return { ...head, headers: headers.filter((text, at) => isKept(at)) };
}

function findLastEventId(events: Buffer): string | undefined {
    return [...events.toString("utf8").matchAll(ID_LINES)].at(-1)?.[1];
}
