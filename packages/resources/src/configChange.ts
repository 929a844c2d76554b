import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { Resource, ResourceRef } from "./schemas.js";

/** Operation of a change on one resource. */
export type ConfigOp =
    | { readonly kind: "put"; readonly resource: Resource }
    | { readonly kind: "delete"; readonly ref: ResourceRef };

/** One accepted configuration change. */
export interface ConfigChange {
    /** Position in the total order of a deployment's changes; starts at 1 and has no gaps. */
    readonly seq: number;
    readonly changeId: ChangeId;
    readonly by: OperatorName;
    /** Wall time of the API host that committed it, in milliseconds. */
    readonly atMs: number;
    readonly op: ConfigOp;
}
