import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";

/** The parts of an instance's name. */
export interface InstanceParts {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Fence of the owner that loaded it. */
    readonly fence: number;
    /** Counts the loads under one fence, so that no name is used twice. */
    readonly load: number;
}
