import { ServeError } from "@fulmarcleat/errors";
import { RESOURCE_KINDS, resourceSchema } from "@fulmarcleat/resources";
import type { Resource, ResourceKind } from "@fulmarcleat/resources";
import { parseSettings } from "@fulmarcleat/settings";
import { z } from "zod";

const fileSchema = z.union([z.array(resourceSchema), z.object({ items: z.array(resourceSchema) })]);

/** Kinds in the order in which they may name one another. */
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
 * Parses a file of resources: JSON with comments, one resource, an array, or an object with `items`.
 *
 * @param text - The file's text
 * @param file - Name of the file, for messages
 * @returns the resources, those that others name first
 * @throws ServeError `settings_invalid`, naming file, line and key
 *
 * @example
 * const resources = parseResourceFile(await readFile(path, "utf8"), path);
 */
export function parseResourceFile(text: string, file: string): readonly Resource[] {
    const shape = parseSettings(z.unknown(), text, { file });
    const resources = Array.isArray(shape) || (typeof shape === "object" && shape !== null && "items" in shape)
        ? parseSettings(fileSchema, text, { file })
        : [parseSettings(resourceSchema, text, { file })];
    const list = "items" in resources ? resources.items : resources;
    if (list.length === 0) {
        throw new ServeError(`${file}: no resource; the kinds are ${RESOURCE_KINDS.join(", ")}`, {
            code: "settings_invalid",
            step: "read resources",
            peer: file,
            outcome: "not_run",
        });
    }
    return [...list].sort((a, b) => APPLY_ORDER.indexOf(a.kind) - APPLY_ORDER.indexOf(b.kind));
}
