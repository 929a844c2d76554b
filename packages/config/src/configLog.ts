import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { RESOURCE_KINDS, resourceSchema } from "@fulmarcleat/resources";
import type { ConfigChange } from "@fulmarcleat/resources";
import { z } from "zod";

/** Key of the log; a change is accepted when the compare-and-swap of this key takes effect. */
export const CONFIG_LOG_KEY = "config/log";

/** The latest changes; older ones are stored in the pages only. */
export interface ConfigLog {
    /** Sequence number of the last change that every page includes. */
    readonly baseSeq: number;
    /** The latest changes, in order and without gaps; may start before the base. */
    readonly changes: readonly ConfigChange[];
}

/** The log of a deployment without accepted changes. */
export const EMPTY_LOG: ConfigLog = { baseSeq: 0, changes: [] };

const refSchema = z.object({ kind: z.enum(RESOURCE_KINDS), name: z.string() });

/** Schema of a stored change. */
export const changeSchema = z.object({
    seq: z.int(),
    changeId: z.string().transform(text => brandId<ChangeId>(text)),
    by: z.string().transform(text => brandId<OperatorName>(text)),
    atMs: z.number(),
    op: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("put"), resource: resourceSchema }),
        z.object({ kind: z.literal("delete"), ref: refSchema }),
    ]),
});

/** Schema of the stored log; `parseConfigLog` validates each change by `changeSchema`. */
export const configLogSchema = z.object({ baseSeq: z.int(), changes: z.array(z.looseObject({ seq: z.int() })) });
