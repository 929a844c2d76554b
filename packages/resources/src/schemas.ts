import { brandId } from "@fulmarcleat/ids";
import type {
    AdapterName,
    AdapterVersion,
    BaseModel,
    CallerName,
    EngineId,
    FailureDomain,
    OperatorName,
    ServiceName,
    UpstreamName,
} from "@fulmarcleat/ids";
import * as z from "zod";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,127}$/;
const NAME_RULE_TEXT = "lower-case letters, digits, '.', '_' and '-', at most 128 characters";
const HASH_PATTERN = /^[0-9a-f]{64}$/;

const nameSchema = z.string().regex(NAME_PATTERN, NAME_RULE_TEXT);
const adapterName = nameSchema.transform(text => brandId<AdapterName>(text));
const adapterVersion = nameSchema.transform(text => brandId<AdapterVersion>(text));
const baseModel = nameSchema.transform(text => brandId<BaseModel>(text));
const callerName = nameSchema.transform(text => brandId<CallerName>(text));
const operatorName = nameSchema.transform(text => brandId<OperatorName>(text));
const upstreamName = nameSchema.transform(text => brandId<UpstreamName>(text));
const serviceName = nameSchema.transform(text => brandId<ServiceName>(text));
const engineId = nameSchema.transform(text => brandId<EngineId>(text));
const failureDomain = nameSchema.transform(text => brandId<FailureDomain>(text));
const keyHash = z.string().regex(HASH_PATTERN, "a SHA-256 hash as 64 lower-case hexadecimal digits");

/** Priority classes, most urgent first. */
export const prioritySchema = z.enum(["urgent", "normal", "bulk"]);

/** Spec of an adapter: its base model and its versions with their weights. */
export const adapterSpecSchema = z.strictObject({
    baseModel,
    versions: z.array(z.strictObject({ version: adapterVersion, weights: z.string().min(1).max(512) })).min(1).max(64),
});

/** Spec of an offer: adapter versions, the callers that may use them, and the priority class. */
export const offerSpecSchema = z.strictObject({
    adapter: adapterName,
    versions: z.array(adapterVersion).min(1).max(64),
    defaultVersion: adapterVersion.optional(),
    callers: z.array(callerName).min(1).max(1024),
    priority: prioritySchema,
});

/** Spec of a client account (caller): the hashes of its keys and its scheduling weight. */
export const callerSpecSchema = z.strictObject({
    keyHashes: z.array(keyHash).min(1).max(8),
    weight: z.number().positive().max(1000).default(1),
});

/** Spec of an operator: the hashes of its tokens and its permissions. */
export const operatorSpecSchema = z.strictObject({
    tokenHashes: z.array(keyHash).min(1).max(8),
    read: z.boolean(),
    write: z.array(z.enum(["Adapter", "Offer", "Caller", "Operator", "Upstream", "Service", "Policy"])),
});

/** Spec of an upstream, a group of engines with one base model. */
export const upstreamSpecSchema = z.strictObject({
    baseModel,
    engines: z.array(z.strictObject({ id: engineId, url: z.url(), failureDomain })).min(1).max(20_000),
    fencing: z.enum(["checked", "ignored"]),
    draining: z.boolean().default(false),
});

/** Spec of a plain HTTP service; each route states whether its requests may be repeated. */
export const serviceSpecSchema = z.strictObject({
    urls: z.array(z.url()).min(1).max(64),
    callers: z.array(callerName).min(1).max(1024),
    routes: z.array(z.strictObject({
        method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
        path: z.string().startsWith("/"),
        repeatable: z.boolean(),
        timeoutMs: z.int().min(1).max(600_000).default(10_000),
    })).min(1).max(256),
    draining: z.boolean().default(false),
});

/** Spec of a policy: weights, limits and deadlines of the deployment. */
export const policySpecSchema = z.strictObject({
    loadStallWeight: z.number().min(0).max(10).default(1),
    batchWeight: z.number().min(0).max(10).default(1),
    queueLimit: z.int().min(1).max(100_000).default(256),
    callerQueueLimit: z.int().min(1).max(100_000).default(128),
    agingMs: z.int().min(1).max(3_600_000).default(5000),
    retryShare: z.number().min(0).max(1).default(0.1),
    maxRequestMs: z.int().min(1000).max(3_600_000).default(300_000),
    defaultDeadlineMs: z.int().min(100).max(3_600_000).default(120_000),
    replicaRate: z.number().positive().default(4),
    storeLoadsPerSecond: z.number().positive().default(2),
    storeMaxInTransit: z.int().min(1).default(8),
    engineBatchSlots: z.int().min(1).max(4096).default(16),
    engineAdapterPlaces: z.int().min(1).max(4096).default(8),
});

/** Policy spec of a deployment without a Policy resource. */
export const DEFAULT_POLICY: PolicySpec = policySpecSchema.parse({});

const metadataSchema = z.strictObject({
    name: nameSchema,
    generation: z.int().min(0).default(0),
    resourceVersion: z.int().min(0).default(0),
    /** Versions removed from an Adapter; their names must not be reused. */
    retired: z.array(adapterVersion).max(1024).optional(),
});

function defineResource<Kind extends string, Spec extends z.ZodType>(kind: Kind, spec: Spec) {
    return z.strictObject({ kind: z.literal(kind), metadata: metadataSchema, spec });
}

/** Schema of every declarative resource. */
export const resourceSchema = z.discriminatedUnion("kind", [
    defineResource("Adapter", adapterSpecSchema),
    defineResource("Offer", offerSpecSchema),
    defineResource("Caller", callerSpecSchema),
    defineResource("Operator", operatorSpecSchema),
    defineResource("Upstream", upstreamSpecSchema),
    defineResource("Service", serviceSpecSchema),
    defineResource("Policy", policySpecSchema),
]);

/** A declarative resource of any kind. */
export type Resource = z.infer<typeof resourceSchema>;
/** Kind of a resource. */
export type ResourceKind = Resource["kind"];
/** A resource of one kind. */
export type ResourceOf<Kind extends ResourceKind> = Extract<Resource, { kind: Kind }>;
/** Reference to one resource. */
export interface ResourceRef {
    readonly kind: ResourceKind;
    readonly name: string;
}
/** Priority class of a request. */
export type Priority = z.infer<typeof prioritySchema>;
/** Spec of the deployment's policy. */
export type PolicySpec = z.infer<typeof policySpecSchema>;

/** Schemas of the names that settings and messages contain. */
export const NAME_SCHEMAS = {
    adapterName,
    adapterVersion,
    callerName,
    operatorName,
    upstreamName,
    serviceName,
    engineId,
    failureDomain,
} as const;

/** Every resource kind. */
export const RESOURCE_KINDS = [
    "Adapter",
    "Offer",
    "Caller",
    "Operator",
    "Upstream",
    "Service",
    "Policy",
] as const satisfies readonly ResourceKind[];
