import { ServeError } from "@fulmarcleat/errors";
import { RESOURCE_KINDS, resourceSchema } from "@fulmarcleat/resources";
import type { Resource, ResourceKind } from "@fulmarcleat/resources";
import { parseSettings } from "@fulmarcleat/settings";
import { z } from "zod";

const fileSchema = z.union([z.array(resourceSchema), z.object({ items: z.array(resourceSchema) })]);

/** Order in which resources are applied: a kind comes after those that it refers to. */
const APPLY_ORDER: readonly ResourceKind[] = [
    "Policy",
    "Operator",
    "Caller",
    "Adapter",
    "Upstream",
    "Service",
    "Offer",
];

/**
 * Parses a file of resources: JSON with comments that holds one resource, an array, or an object with `items`.
 *
 * @param text - Content of the file
 * @param file - Name of the file, for error messages
 * @returns the resources in the order in which they can be applied
 * @throws ServeError `settings_invalid` with the file, line and key of the error
 *
 * @example
 * const resources = parseResourceFile(await readFile(path, "utf8"), path);
 */
export function parseResourceFile(text: string, file: string): readonly Resource[] {
    const parsed = parseSettings(z.unknown(), text, { file });
    const resources = Array.isArray(parsed) || (typeof parsed === "object" && parsed !== null && "items" in parsed)
        ? parseSettings(fileSchema, text, { file })
        : [parseSettings(resourceSchema, text, { file })];
    const list = "items" in resources ? resources.items : resources;
    if (list.length === 0) {
        throw new ServeError(`${file} contains no resource; the kinds are ${RESOURCE_KINDS.join(", ")}`, {
            code: "settings_invalid",
            step: "read resources",
            peer: file,
            outcome: "not_run",
        });
    }
    return [...list].sort((a, b) => APPLY_ORDER.indexOf(a.kind) - APPLY_ORDER.indexOf(b.kind));
}
