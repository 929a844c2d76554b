import type { StoredAnswer } from "@fulmarcleat/wire";
import type { RetainedAnswer } from "./partitionState.js";

/**
 * Adds an answer to the retained ones and drops the oldest ones over the size limit.
 *
 * @param retained - Retained answers, oldest first
 * @param nonce - Nonce of the attempt that the answer belongs to
 * @param answer - Complete answer; not retained if it is larger than `maxBytes`
 * @param maxBytes - Limit on the total size as JSON, in bytes
 * @returns the retained answers, oldest first
 *
 * @example
 * const answers = retainAnswer(state.answers, end.nonce, answer, limits.maxAnswerBytes);
 */
export function retainAnswer(
    retained: readonly RetainedAnswer[],
    nonce: string,
    answer: StoredAnswer,
    maxBytes: number,
): readonly RetainedAnswer[] {
    const bytes = Buffer.byteLength(JSON.stringify(answer));
    if (bytes > maxBytes) {
        return retained;
    }
    const next = [...retained.filter(entry => entry.nonce !== nonce), { nonce, answer, bytes }];
    let total = next.reduce((sum, entry) => sum + entry.bytes, 0);
    let from = 0;
    while (total > maxBytes) {
        total -= next[from]?.bytes ?? 0;
        from += 1;
    }
    return next.slice(from);
}
