import type { EngineAnswerHead } from "@fulmarcleat/directory";
import type { ServerResponse } from "node:http";

/** Takes the pieces of one answer to its client. */
export interface AnswerRelay {
    /** Whether anything has gone to the client. */
    readonly hasStarted: boolean;
    /** Last whole event that has gone to the client. */
    readonly lastEventId: string | undefined;
    begin(head: EngineAnswerHead): void;
    /** Gives false where the client takes no more for now. */
    write(bytes: Buffer): boolean;
    onDrain(listener: () => void): void;
    end(): void;
    /** Ends the answer so that it does not look complete. */
    cut(): void;
    /** Drops a part of an event that broke off, before the stream goes on elsewhere. */
    dropPartial(): void;
}

/** Settings of a relay. */
export interface AnswerRelayOptions {
    /** Sends whole events only, so that the stream may go on at another engine. */
    readonly byEvent: boolean;
    /** Whether the connection ends with this answer. */
    readonly isClosing: () => boolean;
}

const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id:[ ]?(.*)$/m;

/**
 * Creates the relay of one answer to its client; the head goes out with the first piece.
 *
 * @param res - The client's response
 * @param options - How pieces are sent
 * @returns the relay
 *
 * @example
 * const relay = createAnswerRelay(res, { byEvent: route.isResumable, isClosing });
 */
export function createAnswerRelay(res: ServerResponse, options: AnswerRelayOptions): AnswerRelay {
    let head: EngineAnswerHead | undefined;
    let hasStarted = false;
    let lastEventId: string | undefined;
    let partial: Buffer = Buffer.alloc(0);
    const start = (): void => {
        if (!hasStarted && head !== undefined) {
            hasStarted = true;
            writeAnswerHead(res, head, options.isClosing());
        }
    };
    const write = (bytes: Buffer): boolean => {
        start();
        return res.write(bytes);
    };
    return {
        get hasStarted() {
            return hasStarted;
        },
        get lastEventId() {
            return lastEventId;
        },
        begin(next) {
            head ??= next;
        },
        write(bytes) {
            if (!options.byEvent) {
                return write(bytes);
            }
            const all = partial.length === 0 ? bytes : Buffer.concat([partial, bytes]);
            const end = all.lastIndexOf(EVENT_END);
            if (end < 0) {
                partial = all;
                return true;
            }
            const whole = all.subarray(0, end + EVENT_END.length);
            partial = all.subarray(end + EVENT_END.length);
            lastEventId = findLastEventId(whole) ?? lastEventId;
            return write(whole);
        },
        onDrain: listener => void res.once("drain", listener),
        end() {
            if (partial.length > 0) {
                write(partial);
            }
            start();
            res.end();
        },
        cut: () => void res.destroy(),
        dropPartial: () => void (partial = Buffer.alloc(0)),
    };
}

/**
 * Writes the head of an engine's answer to a client.
 *
 * @param res - The client's response
 * @param head - The engine's head
 * @param isClosing - Whether the connection ends with this answer
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

function findLastEventId(events: Buffer): string | undefined {
    const blocks = events.toString("utf8").split("\n\n");
    for (let at = blocks.length - 1; at >= 0; at -= 1) {
        const id = ID_LINE.exec(blocks[at] ?? "")?.[1];
        if (id !== undefined) {
            return id;
        }
    }
    return undefined;
}
