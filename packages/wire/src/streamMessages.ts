import type { RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";

/** Where a stream began; other engines may continue it only if both agree. */
export interface StreamOrigin {
    readonly service: ServiceName;
    /** Software version of the engine that sent the first event; undefined if the engine states none. */
    readonly softwareVersion: SoftwareVersion | undefined;
}

/** Tells a peer where a stream began, so that the client can resume it at any host. */
export interface StreamRecord extends StreamOrigin {
    /** Id of the request that brought the first event. */
    readonly requestId: RequestId;
    /** Whether the peer writes it to the store as well; hosts of former versions don't. */
    readonly isToStore?: boolean | undefined;
}

/** Asks a peer where a stream began. */
export interface StreamOriginRequest {
    /** Id of the request that brought the first event. */
    readonly requestId: RequestId;
}

/** A peer's reply about a stream. */
export type StreamOriginReply = ({ readonly kind: "known" } & StreamOrigin) | { readonly kind: "unknown" };
