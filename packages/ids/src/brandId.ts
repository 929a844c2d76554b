declare const brand: unique symbol;

/** A text that only a value of the same kind may stand in for. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** Name of an adapter, unique in a deployment. */
export type AdapterName = Branded<"AdapterName">;
/** Version of an adapter; opaque, compared for equality only. */
export type AdapterVersion = Branded<"AdapterVersion">;
/** Name of a base model. */
export type BaseModel = Branded<"BaseModel">;
/** Name of a caller. */
export type CallerName = Branded<"CallerName">;
/** Name of an operator. */
export type OperatorName = Branded<"OperatorName">;
/** Name of an upstream: a group of engines. */
export type UpstreamName = Branded<"UpstreamName">;
/** Name of a plain service. */
export type ServiceName = Branded<"ServiceName">;
/** One model engine. */
export type EngineId = Branded<"EngineId">;
/** One host of the system. */
export type HostId = Branded<"HostId">;
/** One run of a process on a host; a restart has a new one. */
export type Incarnation = Branded<"Incarnation">;
/** A failure domain of the platform. */
export type FailureDomain = Branded<"FailureDomain">;
/** One request of a caller. */
export type RequestId = Branded<"RequestId">;
/** One place granted in an engine's batch. */
export type PlaceId = Branded<"PlaceId">;
/** Name under which an engine holds a loaded adapter: adapter, version and fence. */
export type InstanceName = Branded<"InstanceName">;
/** One change of configuration. */
export type ChangeId = Branded<"ChangeId">;
/** One attempt to write; tells a writer its own value from another's. */
export type Nonce = Branded<"Nonce">;

/**
 * Marks a checked text as an id of one kind.
 *
 * @param text - The id's text
 * @returns the same text, branded
 *
 * @example
 * const host = brandId<HostId>("entry-1");
 */
export function brandId<Id extends Branded<string>>(text: string): Id {
    return text as Id;
}
