import { ServeError } from "@fulmarcleat/errors";
import { readFile } from "node:fs/promises";

/**
 * Reads a certificate or a key that settings name.
 *
 * @param file - Path of the PEM file
 * @returns its text
 * @throws ServeError `settings_invalid`
 *
 * @example
 * const cert = await readPem(cfg.callers.tls.certFile);
 */
export async function readPem(file: string): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (cause) {
        const details = { code: "settings_invalid", step: "read certificate", peer: file, outcome: "not_run" } as const;
        throw new ServeError(`${file}: the file can't be read`, { ...details, cause });
    }
}
