/**
 * Applies a JSON merge patch (RFC 7396).
 *
 * @param target - JSON value to patch; it is not changed
 * @param patch - JSON value to merge into it; a null member removes the member of that name
 * @returns the patched value
 *
 * @example
 * applyMergePatch({ a: 1, b: 2 }, JSON.parse('{"b":null}')); // { a: 1 }
 */
export function applyMergePatch(target: unknown, patch: unknown): unknown {
    if (!isObject(patch)) {
        return patch;
    }
    const result: Record<string, unknown> = isObject(target) ? { ...target } : {};
    for (const [key, value] of Object.entries(patch)) {
        if (value === null) {
            delete result[key];
            continue;
        }
        Object.defineProperty(result, key, {
            value: applyMergePatch(Object.hasOwn(result, key) ? result[key] : undefined, value),
            enumerable: true,
            configurable: true,
            writable: true,
        });
    }
    return result;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
