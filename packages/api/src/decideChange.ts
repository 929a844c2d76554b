import { ServeError } from "@fulmarcleat/errors";
import type { AdapterVersion } from "@fulmarcleat/ids";
import { readResource } from "@fulmarcleat/resources";
import type { ConfigOp, ConfigSnapshot, Resource, ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import { isDeepStrictEqual } from "node:util";
import { applyMergePatch } from "./applyMergePatch.js";
import { checkReferences, checkUnused } from "./checkReferences.js";
import { parseResource } from "./parseResource.js";

/** The version of a resource that a change is made for: one, any, or none given. */
export type ExpectedVersion = number | "any" | undefined;

/** What an operator asked for. */
export type ChangeRequest =
    | { readonly kind: "create"; readonly resource: Resource }
    | { readonly kind: "replace"; readonly resource: Resource; readonly expected: ExpectedVersion }
    | {
        readonly kind: "patch";
        readonly ref: ResourceRef;
        readonly patch: unknown;
        readonly expected: ExpectedVersion;
    }
    | { readonly kind: "delete"; readonly ref: ResourceRef; readonly expected: ExpectedVersion };

/**
 * Decides what a change writes on top of a configuration.
 *
 * @param snapshot - The configuration beneath the change
 * @param seq - The change's place in the order of all changes
 * @param request - What the operator asked for
 * @returns what to write, or undefined where nothing would change
 * @throws ServeError `conflict`, `not_found` or `bad_request`
 *
 * @example
 * const op = decideChange(snapshot, seq, { kind: "create", resource });
 */
export function decideChange(snapshot: ConfigSnapshot, seq: number, request: ChangeRequest): ConfigOp | undefined {
    switch (request.kind) {
        case "create": {
            const present = readResource<ResourceKind>(snapshot, request.resource.kind, request.resource.metadata.name);
            if (present !== undefined) {
                refuse("conflict", `${present.kind} ${present.metadata.name} is there already`);
            }
            return decidePut(snapshot, seq, undefined, request.resource);
        }
        case "replace": {
            const { kind, metadata } = request.resource;
            const present = readResource<ResourceKind>(snapshot, kind, metadata.name);
            if (present !== undefined && request.expected === undefined) {
                refuse("conflict", "a replacement needs If-Match or metadata.resourceVersion");
            }
            checkVersion(present, request.expected);
            return decidePut(snapshot, seq, present, request.resource);
        }
        case "patch": {
            const present = readPresent(snapshot, request.ref);
            checkVersion(present, request.expected);
            const parsed = parseResource(applyMergePatch(present, request.patch), request.ref);
            if (parsed.kind === "invalid") {
                return refuse(
                    "bad_request",
                    parsed.fields.map(problem => `${problem.field}: ${problem.message}`).join("\n"),
                );
            }
            return decidePut(snapshot, seq, present, parsed.resource);
        }
        case "delete": {
            checkVersion(readPresent(snapshot, request.ref), request.expected);
            checkUnused(snapshot, request.ref);
            return { kind: "delete", ref: request.ref };
        }
    }
}

function readPresent(snapshot: ConfigSnapshot, ref: ResourceRef): Resource {
    return readResource<ResourceKind>(snapshot, ref.kind, ref.name)
        ?? refuse("not_found", `there is no ${ref.kind} ${ref.name}`);
}

function checkVersion(present: Resource | undefined, expected: ExpectedVersion): void {
    if (expected === undefined || expected === "any") {
        return;
    }
    const version = present?.metadata.resourceVersion;
    if (version !== expected) {
        refuse("conflict", `resourceVersion is ${version ?? "none"}, the change was made for ${expected}`);
    }
}

function decidePut(
    snapshot: ConfigSnapshot,
    seq: number,
    present: Resource | undefined,
    wanted: Resource,
): ConfigOp | undefined {
    if (present !== undefined && isDeepStrictEqual(toPlain(present.spec), toPlain(wanted.spec))) {
        return undefined;
    }
    const retired = listRetired(present, wanted);
    checkReferences(snapshot, wanted);
    const metadata = {
        name: wanted.metadata.name,
        generation: (present?.metadata.generation ?? 0) + 1,
        resourceVersion: seq,
        ...(retired.length > 0 ? { retired: [...retired] } : {}),
    };
    return { kind: "put", resource: { ...wanted, metadata } };
}

function listRetired(present: Resource | undefined, wanted: Resource): readonly AdapterVersion[] {
    if (present?.kind !== "Adapter" || wanted.kind !== "Adapter") {
        return [];
    }
    const weights = new Map(wanted.spec.versions.map(entry => [entry.version, entry.weights]));
    const former = present.metadata.retired ?? [];
    const reused = former.find(version => weights.has(version));
    if (reused !== undefined) {
        refuse("conflict", `spec.versions: version ${reused} was used before; give the weights a new version`);
    }
    const changed = present.spec.versions.find(entry =>
        weights.has(entry.version) && weights.get(entry.version) !== entry.weights
    );
    if (changed !== undefined) {
        refuse("conflict", `spec.versions: the weights of version ${changed.version} can't change; add a version`);
    }
    if (present.spec.baseModel !== wanted.spec.baseModel) {
        refuse("conflict", "spec.baseModel: the base model of an accepted version can't change; add an Adapter");
    }
    const gone = present.spec.versions.filter(entry => !weights.has(entry.version)).map(entry => entry.version);
    return [...former, ...gone];
}

function toPlain(value: unknown): unknown {
    return JSON.parse(JSON.stringify(value)) as unknown;
}

function refuse(code: "conflict" | "not_found" | "bad_request", message: string): never {
    throw new ServeError(message, { code, step: "decide change", peer: "operator", outcome: "not_run" });
}
