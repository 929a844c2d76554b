import type { EngineId, FailureDomain, HostId, Incarnation } from "@fulmarcleat/ids";

/** A host as this one knows it. */
export interface Member {
    readonly host: HostId;
    readonly address: string;
    readonly port: number;
    readonly failureDomain: FailureDomain;
    /** `silent`: listed, but it has not answered lately. */
    readonly state: "live" | "silent" | "leaving";
    /** Whether the platform's list says that it is leaving. */
    readonly isListedLeaving: boolean;
    /** Undefined until it has answered once. */
    readonly incarnation: Incarnation | undefined;
    readonly heardMs: number;
    readonly configSeq: number;
    readonly ownedEngines: readonly EngineId[];
}
