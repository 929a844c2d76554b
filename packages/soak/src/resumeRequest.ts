import type { SoakAnswer, SoakRequest } from "./sendRequest.js";

/** Shortest time to the deadline with which a stream is resumed, in milliseconds. */
const MIN_REMAINING_MS = 200;
const EVENT_ID = /^id: (\d+)$/gm;

/**
 * Creates the request with which a client resumes a stream that broke off.
 *
 * @param answer - What the client received of the stream
 * @param leftMs - Time to the client's deadline, in milliseconds
 * @returns the request; undefined if the stream is complete, has no event yet or has no time left
 *
 * @example
 * const next = resumeRequest(answer, 2000);
 */
export function resumeRequest(answer: SoakAnswer, leftMs: number): SoakRequest | undefined {
    const { req, text } = answer;
    const whole = text.slice(0, text.lastIndexOf("\n\n") + 1);
    const lastId = [...whole.matchAll(EVENT_ID)].at(-1)?.[1];
    const afterEvent = lastId === undefined ? req.resumed?.afterEvent : Number(lastId);
    const isComplete = answer.isComplete && answer.status === 200;
    if (req.generation === undefined || isComplete || afterEvent === undefined || leftMs < MIN_REMAINING_MS) {
        return undefined;
    }
    const requestId = req.resumed?.requestId ?? req.id;
    return { ...req, id: `${req.id}+`, deadlineMs: Math.floor(leftMs), resumed: { requestId, afterEvent } };
}
