/** A decimal number without a sign or an exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;

/**
 * Parses a header's value that is a decimal number.
 *
 * @param text - The value, with spaces around it or not
 * @returns the number; undefined if the text is anything else
 *
 * @example
 * parseDecimal(" 1.5 "); // 1.5
 */
export function parseDecimal(text: string): number | undefined {
    const trimmed = text.trim();
    const number = DECIMAL.test(trimmed) ? Number(trimmed) : NaN;
    return Number.isFinite(number) ? number : undefined;
}
