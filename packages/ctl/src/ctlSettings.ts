import { ServeError } from "@fulmarcleat/errors";
import { loadSettings } from "@fulmarcleat/settings";
import { z } from "zod";

/** Schema of the settings file: URL of the operator API and the operator's token. */
export const ctlSettingsSchema = z.strictObject({ server: z.url(), token: z.string().min(1) });

/** URL of the operator API and the operator's token. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;

/** Environment variables of the command. */
export type CtlEnvironment = Readonly<Record<string, string | undefined>>;

/**
 * Reads the server and the token. `FULMARCLEAT_SERVER` and `FULMARCLEAT_TOKEN` take precedence over the settings file.
 *
 * @param file - Path of the settings file; if undefined, it is taken from `FULMARCLEAT_CONFIG`
 * @param env - Environment variables of the command
 * @returns the settings
 * @throws ServeError `settings_invalid` if the file is invalid, or if server or token is not set
 *
 * @example
 * const settings = await readCtlSettings(args.config, process.env);
 */
export async function readCtlSettings(file: string | undefined, env: CtlEnvironment): Promise<CtlSettings> {
    const path = file ?? env["FULMARCLEAT_CONFIG"];
    const base = path === undefined ? {} : await loadSettings(ctlSettingsSchema.partial(), path);
    const result = ctlSettingsSchema.safeParse({
        server: env["FULMARCLEAT_SERVER"] ?? base.server,
        token: env["FULMARCLEAT_TOKEN"] ?? base.token,
    });
    if (!result.success) {
        throw new ServeError(
            "no server or token: set FULMARCLEAT_SERVER and FULMARCLEAT_TOKEN, or pass a settings file with --config",
            { code: "settings_invalid", step: "read settings", peer: path ?? "environment", outcome: "not_run" },
        );
    }
    return result.data;
}
