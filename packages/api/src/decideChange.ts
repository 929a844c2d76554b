import { ServeError } from "@fulmarcleat/errors";
import type { AdapterVersion } from "@fulmarcleat/ids";
import { readResource } from "@fulmarcleat/resources";
import type { ConfigOp, ConfigSnapshot, Resource, ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import { isDeepStrictEqual } from "node:util";
import { applyMergePatch } from "./applyMergePatch.js";
import { checkReferences, checkUnreferenced } from "./checkReferences.js";
import { parseResource } from "./parseResource.js";

/** Version that a resource must have for a change to apply: a number, `any`, or undefined if the client gave none. */
export type ExpectedVersion = number | "any" | undefined;

/** Change that an operator requested. */
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
 * Checks a change against the configuration and computes the write that makes it.
 *
 * @param snapshot - Configuration that the change is applied to
 * @param seq - Sequence number of the change among all changes
 * @param request - Change that the operator requested
 * @returns the operation to commit, or undefined if nothing would change
 * @throws ServeError `conflict`, `not_found` or `bad_request`
 *
 * @example
 * const op = decideChange(snapshot, seq, { kind: "create", resource });
 */
export function decideChange(snapshot: ConfigSnapshot, seq: number, request: ChangeRequest): ConfigOp | undefined {
    switch (request.kind) {
        case "create": {
            const existing = readResource<ResourceKind>(
                snapshot,
                request.resource.kind,
                request.resource.metadata.name,
            );
            if (existing !== undefined) {
                throwRefusal("conflict", `${existing.kind} ${existing.metadata.name} already exists`);
            }
            return decidePut(snapshot, seq, undefined, request.resource);
        }
        case "replace": {
            const { kind, metadata } = request.resource;
            const existing = readResource<ResourceKind>(snapshot, kind, metadata.name);
            if (existing !== undefined && request.expected === undefined) {
                throwRefusal("conflict", "replacing a resource requires If-Match or metadata.resourceVersion");
            }
            checkVersion(existing, request.expected);
            return decidePut(snapshot, seq, existing, request.resource);
        }
        case "patch": {
            const existing = readExisting(snapshot, request.ref);
            checkVersion(existing, request.expected);
            const parsed = parseResource(applyMergePatch(existing, request.patch), request.ref);
            if (parsed.kind === "invalid") {
                return throwRefusal(
                    "bad_request",
                    parsed.fields.map(problem => `${problem.field}: ${problem.message}`).join("\n"),
                );
            }
            return decidePut(snapshot, seq, existing, parsed.resource);
        }
        case "delete": {
            checkVersion(readExisting(snapshot, request.ref), request.expected);
            checkUnreferenced(snapshot, request.ref);
            return { kind: "delete", ref: request.ref };
        }
    }
}

function readExisting(snapshot: ConfigSnapshot, ref: ResourceRef): Resource {
    return readResource<ResourceKind>(snapshot, ref.kind, ref.name)
        ?? throwRefusal("not_found", `${ref.kind} ${ref.name} does not exist`);
}

function checkVersion(existing: Resource | undefined, expected: ExpectedVersion): void {
    if (expected === undefined || expected === "any") {
        return;
    }
    const version = existing?.metadata.resourceVersion;
    if (version !== expected) {
        throwRefusal("conflict", `resourceVersion is ${version ?? "none"}, but the change expects ${expected}`);
    }
}

function decidePut(
    snapshot: ConfigSnapshot,
    seq: number,
    existing: Resource | undefined,
    requested: Resource,
): ConfigOp | undefined {
    if (existing !== undefined && isDeepStrictEqual(toPlain(existing.spec), toPlain(requested.spec))) {
        return undefined;
    }
    const retired = listRetired(existing, requested);
    checkReferences(snapshot, requested);
    const metadata = {
        name: requested.metadata.name,
        generation: (existing?.metadata.generation ?? 0) + 1,
        resourceVersion: seq,
        ...(retired.length > 0 ? { retired: [...retired] } : {}),
    };
    return { kind: "put", resource: { ...requested, metadata } };
}

function listRetired(existing: Resource | undefined, requested: Resource): readonly AdapterVersion[] {
    if (existing?.kind !== "Adapter" || requested.kind !== "Adapter") {
        return [];
    }
    const weights = new Map(requested.spec.versions.map(entry => [entry.version, entry.weights]));
    const retiredBefore = existing.metadata.retired ?? [];
    const reused = retiredBefore.find(version => weights.has(version));
    if (reused !== undefined) {
        throwRefusal(
            "conflict",
            `spec.versions: version ${reused} was retired and can't be used again; choose a new version`,
        );
    }
    const changed = existing.spec.versions.find(entry =>
        weights.has(entry.version) && weights.get(entry.version) !== entry.weights
    );
    if (changed !== undefined) {
        throwRefusal(
            "conflict",
            `spec.versions: the weights of version ${changed.version} can't change; add a new version`,
        );
    }
    if (existing.spec.baseModel !== requested.spec.baseModel) {
        throwRefusal(
            "conflict",
            "spec.baseModel: the base model of an accepted version can't change; create a new Adapter",
        );
    }
    const removed = existing.spec.versions.filter(entry => !weights.has(entry.version)).map(entry => entry.version);
    return [...retiredBefore, ...removed];
}

function toPlain(value: unknown): unknown {
    return JSON.parse(JSON.stringify(value)) as unknown;
}

function throwRefusal(code: "conflict" | "not_found" | "bad_request", message: string): never {
    throw new ServeError(message, { code, step: "decide change", peer: "operator", outcome: "not_run" });
}
