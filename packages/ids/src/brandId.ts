declare const brandSymbol: unique symbol;

/** A string type that is not assignable from other strings or other branded strings. */
export type Branded<Name extends string> = string & { readonly [brandSymbol]: Name };

/** Name of an adapter, unique in a deployment. */
export type AdapterName = Branded<"AdapterName">;
/** Version of an adapter; opaque, only compared for equality. */
export type AdapterVersion = Branded<"AdapterVersion">;
/** Name of a base model. */
export type BaseModel = Branded<"BaseModel">;
/** Name of a client account (caller). */
export type CallerName = Branded<"CallerName">;
/** Name of a client account of the platform's configuration. */
export type AccountName = Branded<"AccountName">;
/** API key of a client account; a secret that is never logged and never leaves the host that received it. */
export type ApiKey = Branded<"ApiKey">;
/** Name of an operator. */
export type OperatorName = Branded<"OperatorName">;
/** Name of an upstream, a group of engines. */
export type UpstreamName = Branded<"UpstreamName">;
/** Name of a plain HTTP service. */
export type ServiceName = Branded<"ServiceName">;
/** Id of a model engine. */
export type EngineId = Branded<"EngineId">;
/** Id of a host. */
export type HostId = Branded<"HostId">;
/** Id of one process run on a host; each restart creates a new one. */
export type Incarnation = Branded<"Incarnation">;
/** Version of an engine's software; opaque, only compared for equality. */
export type SoftwareVersion = Branded<"SoftwareVersion">;
/** Name of a failure domain of the platform. */
export type FailureDomain = Branded<"FailureDomain">;
/** Id of a caller's request. */
export type RequestId = Branded<"RequestId">;
/** Id of one part of a prompt, which requests may share. */
export type PromptPart = Branded<"PromptPart">;
/** Keyed hash of what makes two requests the same: method, host name, path, query and body. */
export type RequestDigest = Branded<"RequestDigest">;
/** What may be found to crash engines: a part of prompts, or a request as a whole. */
export type Suspect = PromptPart | RequestDigest;
/** Id of a granted place, which is a batch slot of an engine. */
export type PlaceId = Branded<"PlaceId">;
/** Name of a loaded adapter on an engine; made of adapter, version and fence. */
export type InstanceName = Branded<"InstanceName">;
/** Id of a configuration change. */
export type ChangeId = Branded<"ChangeId">;
/** Id of one write attempt, by which a writer recognizes its own value. */
export type Nonce = Branded<"Nonce">;

/**
 * Casts a validated string to a branded id type.
 *
 * @param text - Text of the id; not checked here
 * @returns the same string as a branded type
 *
 * @example
 * const host = brandId<HostId>("entry-1");
 */
export function brandId<Id extends Branded<string>>(text: string): Id {
    return text as Id;
}
