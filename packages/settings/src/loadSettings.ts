import { ServeError } from "@fulmarcleat/errors";
import { readFile } from "node:fs/promises";
import type { z } from "zod";
import { parseSettings } from "./parseSettings.js";

/**
 * Reads a settings file and validates it.
 *
 * @param schema - Schema of the settings
 * @param file - Path of the settings file
 * @returns the validated settings
 * @throws ServeError `settings_invalid` if the file can't be read or its content is invalid
 *
 * @example
 * const cfg = await loadSettings(gatewaySchema, "gateway.jsonc");
 */
export async function loadSettings<T>(schema: z.ZodType<T>, file: string): Promise<T> {
    return parseSettings(schema, await readSettingsFile(file), { file });
}

async function readSettingsFile(file: string): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (cause) {
        const details = { code: "settings_invalid", step: "read settings", peer: file, outcome: "not_run" } as const;
        throw new ServeError(`${file}: the file can't be read`, { ...details, cause });
    }
}
