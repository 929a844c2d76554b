import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { RESOURCE_KINDS, resourceSchema } from "@fulmarcleat/resources";
import type { ConfigChange } from "@fulmarcleat/resources";
import { z } from "zod";

/** Key of the log; its compare-and-swap is the moment at which a change is accepted. */
export const CONFIG_LOG_KEY = "config/log";

/** The latest changes; what is older lies in the pages. */
export interface ConfigLog {
    /** Last change that every page holds. */
    readonly baseSeq: number;
    /** The latest changes, in order and without gaps; may begin before the base. */
    readonly changes: readonly ConfigChange[];
}

/** The log of a deployment in which nothing was accepted yet. */
export const EMPTY_LOG: ConfigLog = { baseSeq: 0, changes: [] };

const refSchema = z.object({ kind: z.enum(RESOURCE_KINDS), name: z.string() });

/** How one change lies in the key-value service. */
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

/** How the log lies in the key-value service; its changes are checked one by one. */
export const configLogSchema = z.object({ baseSeq: z.int(), changes: z.array(z.looseObject({ seq: z.int() })) });
