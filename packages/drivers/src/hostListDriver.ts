import type { FailureDomain, HostId } from "@fulmarcleat/ids";

/** One host as the platform's lagging list shows it. */
export interface ListedHost {
    readonly host: HostId;
    readonly address: string;
    /** TCP port of the system's own processes. */
    readonly port: number;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
}

/** The platform's list of hosts. */
export interface HostListDriver {
    list(): Promise<readonly ListedHost[]>;
    close(): Promise<void>;
}
