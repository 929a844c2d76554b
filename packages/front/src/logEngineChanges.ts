import type { KnownEngine } from "@fulmarcleat/directory";
import type { EngineId } from "@fulmarcleat/ids";
import type { FrontContext } from "./frontContext.js";

/**
 * Logs which engines were listed, announced that they leave, or are gone.
 *
 * @param before - The engines before the change, by id
 * @param after - The engines after it
 * @param context - The log
 * @returns nothing
 *
 * @example
 * logEngineChanges(before, directory.engines, context);
 */
export function logEngineChanges(
    before: ReadonlyMap<EngineId, KnownEngine>,
    after: ReadonlyMap<EngineId, KnownEngine>,
    { log }: Pick<FrontContext, "log">,
): void {
    for (const [id, known] of after) {
        const former = before.get(id);
        if (former === undefined || former.entry.bornMs !== known.entry.bornMs) {
            const { service, address, bornMs } = known.entry;
            log.write("info", 210, { engine: id, service, ip: address.ip, port: address.port, bornMs });
        }
        if (!known.isUsable && former?.isUsable !== false) {
            log.write("info", 211, { engine: id, leavesInMs: known.entry.leavesInMs });
        }
    }
    for (const id of before.keys()) {
        if (!after.has(id)) {
            log.write("info", 212, { engine: id });
        }
    }
}
