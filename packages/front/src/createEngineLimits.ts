import type { EngineAnswerHead, EngineEntry } from "@fulmarcleat/directory";
import type { EngineId } from "@fulmarcleat/ids";
import type { FrontContext } from "./frontContext.js";

/** Limits that engines in need name in their answers: requests a second from all hosts together. */
export interface EngineLimits {
    /** Records what an answer says of its engine's limit. */
    recordAnswer(entry: EngineEntry, head: EngineAnswerHead): void;
}

/**
 * Creates the record of engines' limits.
 *
 * @param context - Log
 * @returns the limits, none known
 *
 * @example
 * const limits = createEngineLimits(context);
 */
export function createEngineLimits({ log }: Pick<FrontContext, "log">): EngineLimits {
    const rates = new Map<EngineId, number>();
    return {
        recordAnswer({ id }, { instance, limit }) {
            if (instance !== undefined && instance !== id) {
                return;
            }
            if (limit.kind === "unreadable") {
                log.write("warn", 412, { engine: id, text: limit.text });
                return;
            }
            const perSecond = limit.kind === "rate" ? limit.perSecond : undefined;
            const former = rates.get(id);
            if (perSecond === former) {
                return;
            }
            log.write("warn", 411, { engine: id, perSecond, former });
            if (perSecond === undefined) {
                rates.delete(id);
            }
            else {
                rates.set(id, perSecond);
            }
        },
    };
}
