/** Line ends that close an event; as in findEventsEnd. */
const EVENT_ENDS = ["\n\n", "\r\r", "\n\r\n"].map(text => Buffer.from(text));

/**
 * Counts the events that end in a part of an event stream.
 *
 * @param bytes - Part of an event stream
 * @returns the number of ends; an end that two parts share is not counted
 *
 * @example
 * countEventEnds(Buffer.from("id: 1\n\nid: 2\n\nid")); // 2
 */
export function countEventEnds(bytes: Buffer): number {
    return EVENT_ENDS.reduce((sum, end) => sum + countParts(bytes, end), 0);
}

function countParts(bytes: Buffer, part: Buffer): number {
    let count = 0;
    for (let at = bytes.indexOf(part); at >= 0; at = bytes.indexOf(part, at + part.length)) {
        count += 1;
    }
    return count;
}
