/**
 * Parses JSON text from an untrusted source without throwing.
 *
 * @param text - JSON text received from another process
 * @returns the value; undefined if the text is not valid JSON, so that validation against a schema fails
 *
 * @example
 * parseJson("{"); // undefined
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // Callers validate the value and log invalid input.
        return undefined;
    }
}
