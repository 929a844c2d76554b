import { ServeError } from "@fulmarcleat/errors";
import { readFile } from "node:fs/promises";

/**
 * Reads a certificate or key file that the settings refer to.
 *
 * @param file - Path of the PEM file
 * @returns the PEM text
 * @throws ServeError `settings_invalid` if the file can't be read
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
