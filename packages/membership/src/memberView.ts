import type { EngineId, FailureDomain, HostId, Incarnation } from "@fulmarcleat/ids";

/** State of a host as known by this host. */
export interface Member {
    readonly host: HostId;
    readonly address: string;
    readonly port: number;
    readonly failureDomain: FailureDomain;
    /** `silent`: listed, but unresponsive. */
    readonly state: "live" | "silent" | "leaving";
    /** Whether the platform's list states that the host is leaving. */
    readonly isListedLeaving: boolean;
    /** Incarnation of the host's process; undefined until its first hello message. */
    readonly incarnation: Incarnation | undefined;
    /** When the last hello message was received, or when the host was first listed, in milliseconds. */
    readonly heardMs: number;
    readonly configSeq: number;
    readonly ownedEngines: readonly EngineId[];
}
