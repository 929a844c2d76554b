/**
 * Parses JSON text that comes from elsewhere.
 *
 * @param text - The text
 * @returns the value; undefined where the text is not JSON, which fails any schema that it is checked against
 *
 * @example
 * parseJson("{"); // undefined
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Callers check the value and log what they can't read.
        return undefined;
    }
}
