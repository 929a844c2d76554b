import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";

/** The parts of an instance name. */
export interface InstanceParts {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Fence of the owner that loaded the instance. */
    readonly fence: number;
    /** Number of the load under that fence, so that no name is used twice. */
    readonly load: number;
}
