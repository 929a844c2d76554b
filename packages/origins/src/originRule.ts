import type { ServiceName, SoftwareVersion } from "@fulmarcleat/ids";

/** Where a stream began; engines of another service or software version can't continue it. */
export interface Origin {
    readonly service: ServiceName;
    /** Undefined if the engines state none. */
    readonly softwareVersion: SoftwareVersion | undefined;
}

/** Share of a software version among the engines of a service. */
export interface VersionWeight {
    readonly softwareVersion: SoftwareVersion | undefined;
    /** Relative to the other versions of the service. */
    readonly weight: number;
}

/** A service of a route and the software versions of its engines. */
export interface WeightedService {
    readonly service: ServiceName;
    /** Share of the route's requests relative to the other services. */
    readonly weight: number;
    readonly versions: readonly VersionWeight[];
}

/** Says where the streams of a route begin, by the ids of their requests. */
export type OriginRule =
    | { readonly kind: "weighted"; readonly services: readonly WeightedService[] }
    /** Streams may have begun anywhere, as no rule was known to all hosts. */
    | { readonly kind: "unknown" };
