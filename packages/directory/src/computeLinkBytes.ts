/** Bytes that a link of one megabit a second carries in a millisecond. */
const BYTES_PER_MS = 125;

/**
 * Computes how many bytes a link carries in a time.
 *
 * @param linkMbps - Rate of the link, in Mbit/s; undefined if it is unknown
 * @param ms - The time, in milliseconds
 * @returns the bytes; without a limit if the rate is unknown
 *
 * @example
 * computeLinkBytes(7, 300); // 262500
 */
export function computeLinkBytes(linkMbps: number | undefined, ms: number): number {
    return linkMbps === undefined ? Infinity : linkMbps * BYTES_PER_MS * ms;
}
