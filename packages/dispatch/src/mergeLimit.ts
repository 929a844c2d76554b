/** What an engine was last heard to say of the rate of requests that it takes from all hosts together. */
export interface HeardLimit {
    /** Requests a second; undefined if it named none. */
    readonly perSecond: number | undefined;
    /** Clock reading when the answered request was sent, in milliseconds. */
    readonly sentMs: number;
    /** Clock reading when the answer arrived, in milliseconds. */
    readonly heardMs: number;
}

/**
 * Merges what two answers of an engine say of its limit. Answers may overtake each other, so a limit is loosened only by
 * the answer to a request that was sent after the stricter one was heard.
 *
 * @param known - What is known; undefined if nothing is
 * @param next - What another answer says
 * @returns what counts from now on
 *
 * @example
 * mergeLimit({ perSecond: 1, sentMs: 0, heardMs: 50 }, { perSecond: undefined, sentMs: 20, heardMs: 60 }); // 1 a second
 */
export function mergeLimit(known: HeardLimit | undefined, next: HeardLimit): HeardLimit {
    if (known === undefined) {
        return next;
    }
    const isLooser = (next.perSecond ?? Infinity) > (known.perSecond ?? Infinity);
    const isNewer = isLooser ? next.sentMs >= known.heardMs : next.heardMs >= known.heardMs;
    return isNewer ? next : known;
}
