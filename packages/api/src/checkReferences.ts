import { ServeError } from "@fulmarcleat/errors";
import type { AdapterName } from "@fulmarcleat/ids";
import { filterResources, listResources, readResource } from "@fulmarcleat/resources";
import type { ConfigSnapshot, Resource, ResourceOf, ResourceRef } from "@fulmarcleat/resources";

/**
 * Checks that everything a resource refers to exists, and that no Offer would lose a version that it lists.
 *
 * @param snapshot - Configuration that the change is applied to
 * @param resource - Resource to be written
 * @returns nothing
 * @throws ServeError `conflict` with the name of the invalid field
 *
 * @example
 * checkReferences(snapshot, offer);
 */
export function checkReferences(snapshot: ConfigSnapshot, resource: Resource): void {
    switch (resource.kind) {
        case "Offer":
            checkOffer(snapshot, resource);
            return;
        case "Adapter":
            checkAdapter(snapshot, resource);
            return;
        case "Caller":
            checkCaller(snapshot, resource);
            return;
        case "Service":
            checkCallers(snapshot, resource.spec.callers);
            return;
        case "Upstream":
            checkEngines(snapshot, resource);
            return;
        case "Operator":
        case "Policy":
            return;
    }
}

/**
 * Checks that no other resource refers to one that is to be deleted.
 *
 * @param snapshot - Configuration that the change is applied to
 * @param ref - Resource to be deleted
 * @returns nothing
 * @throws ServeError `conflict` with the names of the first three resources that refer to it
 *
 * @example
 * checkUnreferenced(snapshot, { kind: "Adapter", name: "levy" });
 */
export function checkUnreferenced(snapshot: ConfigSnapshot, ref: ResourceRef): void {
    const referrers = listReferrers(snapshot, ref);
    if (referrers.length > 0) {
        const more = referrers.length > 3 ? ` and ${referrers.length - 3} more` : "";
        throwConflict(`${ref.kind} ${ref.name} is referenced by ${referrers.slice(0, 3).join(", ")}${more}`);
    }
}

function listReferrers(snapshot: ConfigSnapshot, ref: ResourceRef): readonly string[] {
    switch (ref.kind) {
        case "Adapter":
            return listOffersOf(snapshot, ref.name).map(describe);
        case "Caller":
            return [
                ...filterResources(snapshot, "Offer", offer => offer.spec.callers.some(name => name === ref.name)),
                ...filterResources(
                    snapshot,
                    "Service",
                    service => service.spec.callers.some(name => name === ref.name),
                ),
            ].map(describe);
        case "Offer":
        case "Operator":
        case "Upstream":
        case "Service":
        case "Policy":
            return [];
    }
}

function checkOffer(snapshot: ConfigSnapshot, offer: ResourceOf<"Offer">): void {
    const { adapter, versions, defaultVersion, callers } = offer.spec;
    const adapterResource = readResource(snapshot, "Adapter", adapter);
    if (adapterResource === undefined) {
        return throwConflict(`spec.adapter: Adapter ${adapter} does not exist`);
    }
    const knownVersions = new Set(adapterResource.spec.versions.map(entry => entry.version));
    const missing = versions.find(version => !knownVersions.has(version));
    if (missing !== undefined) {
        throwConflict(`spec.versions: Adapter ${adapter} has no version ${missing}`);
    }
    if (defaultVersion !== undefined && !versions.includes(defaultVersion)) {
        throwConflict(`spec.defaultVersion: ${defaultVersion} is not among spec.versions`);
    }
    checkCallers(snapshot, callers);
}

function checkCallers(snapshot: ConfigSnapshot, callers: readonly string[]): void {
    const missing = callers.find(caller => readResource(snapshot, "Caller", caller) === undefined);
    if (missing !== undefined) {
        throwConflict(`spec.callers: Caller ${missing} does not exist`);
    }
}

function checkAdapter(snapshot: ConfigSnapshot, adapter: ResourceOf<"Adapter">): void {
    const { name } = adapter.metadata;
    const versionNames = new Set(adapter.spec.versions.map(entry => entry.version));
    if (versionNames.size < adapter.spec.versions.length) {
        throwConflict("spec.versions: a version is listed twice");
    }
    const existing = readResource(snapshot, "Adapter", name);
    if (existing === undefined || existing.spec.versions.every(entry => versionNames.has(entry.version))) {
        return;
    }
    const referrer = listOffersOf(snapshot, name).find(offer =>
        offer.spec.versions.some(version => !versionNames.has(version))
    );
    if (referrer !== undefined) {
        throwConflict(`spec.versions: ${describe(referrer)} offers a version that would be removed`);
    }
}

function checkCaller(snapshot: ConfigSnapshot, caller: ResourceOf<"Caller">): void {
    const hashes = new Set(caller.spec.keyHashes);
    const [other] = filterResources(
        snapshot,
        "Caller",
        candidate =>
            candidate.metadata.name !== caller.metadata.name && candidate.spec.keyHashes.some(hash => hashes.has(hash)),
    );
    if (other !== undefined) {
        throwConflict(`spec.keyHashes: Caller ${other.metadata.name} has the same key`);
    }
}

function checkEngines(snapshot: ConfigSnapshot, upstream: ResourceOf<"Upstream">): void {
    const ids = upstream.spec.engines.map(engine => engine.id);
    const ownIds = new Set(ids);
    if (ownIds.size < ids.length) {
        throwConflict("spec.engines: an engine is listed twice");
    }
    for (const other of listResources(snapshot, "Upstream")) {
        const shared = other.spec.engines.find(engine => ownIds.has(engine.id));
        if (other.metadata.name !== upstream.metadata.name && shared !== undefined) {
            throwConflict(`spec.engines: engine ${shared.id} belongs to Upstream ${other.metadata.name}`);
        }
    }
}

function listOffersOf(snapshot: ConfigSnapshot, adapter: string): readonly ResourceOf<"Offer">[] {
    return filterResources(snapshot, "Offer", offer => offer.spec.adapter === adapter as AdapterName);
}

function describe(resource: Resource): string {
    return `${resource.kind} ${resource.metadata.name}`;
}

function throwConflict(message: string): never {
    throw new ServeError(message, { code: "conflict", step: "check references", peer: "operator", outcome: "not_run" });
}
