import type { FailureDomain, HostId } from "@fulmarcleat/ids";

/** One host in the platform's host list, which may lag behind the actual state. */
export interface ListedHost {
    readonly host: HostId;
    readonly address: string;
    /** TCP port on which the host accepts connections of its peers. */
    readonly port: number;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
}

/** Driver of the platform's host list. */
export interface HostListDriver {
    list(): Promise<readonly ListedHost[]>;
    close(): Promise<void>;
}
