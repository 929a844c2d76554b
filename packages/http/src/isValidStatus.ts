/** Statuses of responses (RFC 9110, section 15). */
const STATUSES = { from: 100, to: 599 } as const;

/**
 * Checks whether a number is a status of HTTP; a message with another one is no response.
 *
 * @param status - Status as received
 * @returns whether it lies within 100 and 599
 *
 * @example
 * isValidStatus(600); // false
 */
export function isValidStatus(status: number): boolean {
    return status >= STATUSES.from && status <= STATUSES.to;
}
