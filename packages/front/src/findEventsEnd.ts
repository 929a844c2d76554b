/** Line ends that close an event: a line end followed by an empty line. `\n\r\n` covers both forms that end in CRLF. */
const EVENT_ENDS = ["\n\n", "\r\r", "\n\r\n"].map(text => Buffer.from(text));

/**
 * Finds the end of the last complete event of an event stream.
 *
 * @param bytes - Part of an event stream that starts between two events
 * @returns the offset after the last complete event; 0 if there is none
 *
 * @example
 * findEventsEnd(Buffer.from("id: 1\n\nid: 2")); // 7
 */
export function findEventsEnd(bytes: Buffer): number {
    return Math.max(
        ...EVENT_ENDS.map(end => {
            const at = bytes.lastIndexOf(end);
            return at < 0 ? 0 : at + end.length;
        }),
    );
}
