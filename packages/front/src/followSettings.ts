import { toServeError } from "@fulmarcleat/errors";
import type { Deployment } from "@fulmarcleat/platform";
import type { FrontContext } from "./frontContext.js";
import { onReload } from "./onReload.js";

/** How often the settings file is looked at without a signal, in milliseconds. */
const LOOK_MS = 5000;

/**
 * Keeps the platform's settings as their file has them; a file that is not allowed changes nothing.
 *
 * @param context - Clock and log
 * @param settings - Holds what is in force
 * @param readSettings - Reads the file
 * @returns nothing
 *
 * @example
 * followSettings(context, settings, () => readDeployment(process.env));
 */
export function followSettings(
    { clock, log }: Pick<FrontContext, "clock" | "log">,
    settings: { current: Deployment },
    readSettings: () => Promise<Deployment>,
): void {
    let refused: string | undefined;
    const read = async (hasSignal: boolean): Promise<void> => {
        try {
            const next = await readSettings();
            refused = undefined;
            const isChanged = JSON.stringify(next) !== JSON.stringify(settings.current);
            settings.current = next;
            if (hasSignal || isChanged) {
                log.write("info", 108, { hasSignal, isChanged });
            }
        }
        catch (err) {
            const { message } = toServeError(err, INTERNAL);
            if (hasSignal || message !== refused) {
                log.write("error", 109, { hasSignal, message });
            }
            refused = message;
        }
    };
    onReload(() => void read(true));
    const look = (): void => {
        void read(false);
        clock.setTimer(LOOK_MS, look);
    };
    clock.setTimer(LOOK_MS, look);
}

const INTERNAL = { code: "settings_invalid", step: "read settings", peer: "self", outcome: "not_run" } as const;
