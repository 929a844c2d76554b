import { toServeError } from "@fulmarcleat/errors";
import { repeat } from "@fulmarcleat/ids";
import type { Deployment } from "@fulmarcleat/platform";
import type { FrontContext } from "./frontContext.js";
import { onReload } from "./onReload.js";

/** Interval between two reads of the settings file without a signal, in milliseconds. */
const POLL_INTERVAL_MS = 5000;

/**
 * Reloads the platform's settings at an interval and on SIGHUP; an invalid file changes nothing.
 *
 * @param context - Clock and log
 * @param settings - Holds the settings in effect; replaced when the file changes
 * @param readSettings - Reads the file; rejects if it is invalid
 * @returns nothing
 *
 * @example
 * watchSettings(context, settings, () => readDeployment(process.env));
 */
export function watchSettings(
    { clock, log }: Pick<FrontContext, "clock" | "log">,
    settings: { current: Deployment },
    readSettings: () => Promise<Deployment>,
): void {
    let lastError: string | undefined;
    const read = async (hasSignal: boolean): Promise<void> => {
        try {
            const next = await readSettings();
            lastError = undefined;
            const isChanged = JSON.stringify(next) !== JSON.stringify(settings.current);
            settings.current = next;
            if (hasSignal || isChanged) {
                log.write("info", 108, { hasSignal, isChanged });
            }
        }
        catch (err) {
            const { message } = toServeError(err, INTERNAL);
            if (hasSignal || message !== lastError) {
                log.write("error", 109, { hasSignal, message });
            }
            lastError = message;
        }
    };
    onReload(() => void read(true));
    clock.setTimer(POLL_INTERVAL_MS, () => repeat(clock, POLL_INTERVAL_MS, () => void read(false)));
}

const INTERNAL = { code: "settings_invalid", step: "read settings", peer: "self", outcome: "not_run" } as const;
