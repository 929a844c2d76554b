import type { AdapterName, BaseModel } from "@fulmarcleat/ids";

/** Newest version of an adapter that the operator has declared. */
export interface AdapterRelease {
    readonly model: BaseModel;
    readonly adapter: AdapterName;
    readonly version: number;
}
