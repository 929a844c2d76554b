import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { Resource, ResourceRef } from "./schemas.js";

/** What a change does to one resource. */
export type ConfigOp =
    | { readonly kind: "put"; readonly resource: Resource }
    | { readonly kind: "delete"; readonly ref: ResourceRef };

/** One accepted change; `seq` orders all changes of a deployment. */
export interface ConfigChange {
    readonly seq: number;
    readonly changeId: ChangeId;
    readonly by: OperatorName;
    /** Wall time of the API host that committed it, in milliseconds. */
    readonly atMs: number;
    readonly op: ConfigOp;
}
