import { ServeError } from "@fulmarcleat/errors";
import type { AdapterName } from "@fulmarcleat/ids";
import { filterResources, listResources, readResource } from "@fulmarcleat/resources";
import type { ConfigSnapshot, Resource, ResourceOf, ResourceRef } from "@fulmarcleat/resources";

/**
 * Checks that what a resource names is there, and that nothing on offer goes away.
 *
 * @param snapshot - The configuration beneath the change
 * @param resource - The resource to be written
 * @returns nothing
 * @throws ServeError `conflict`, naming the field
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
 * Checks that no other resource names one that is to be deleted.
 *
 * @param snapshot - The configuration beneath the change
 * @param ref - The resource to be deleted
 * @returns nothing
 * @throws ServeError `conflict`, naming who names it
 *
 * @example
 * checkUnused(snapshot, { kind: "Adapter", name: "levy" });
 */
export function checkUnused(snapshot: ConfigSnapshot, ref: ResourceRef): void {
    const users = listUsers(snapshot, ref);
    if (users.length > 0) {
        const more = users.length > 3 ? ` and ${users.length - 3} more` : "";
        refuse(`${ref.kind} ${ref.name} is named by ${users.slice(0, 3).join(", ")}${more}`);
    }
}

function listUsers(snapshot: ConfigSnapshot, ref: ResourceRef): readonly string[] {
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
    const found = readResource(snapshot, "Adapter", adapter);
    if (found === undefined) {
        return refuse(`spec.adapter: there is no Adapter ${adapter}`);
    }
    const known = new Set(found.spec.versions.map(entry => entry.version));
    const missing = versions.find(version => !known.has(version));
    if (missing !== undefined) {
        refuse(`spec.versions: Adapter ${adapter} has no version ${missing}`);
    }
    if (defaultVersion !== undefined && !versions.includes(defaultVersion)) {
        refuse(`spec.defaultVersion: ${defaultVersion} is not among spec.versions`);
    }
    checkCallers(snapshot, callers);
}

function checkCallers(snapshot: ConfigSnapshot, callers: readonly string[]): void {
    const missing = callers.find(caller => readResource(snapshot, "Caller", caller) === undefined);
    if (missing !== undefined) {
        refuse(`spec.callers: there is no Caller ${missing}`);
    }
}

function checkAdapter(snapshot: ConfigSnapshot, adapter: ResourceOf<"Adapter">): void {
    const { name } = adapter.metadata;
    const known = new Set(adapter.spec.versions.map(entry => entry.version));
    if (known.size < adapter.spec.versions.length) {
        refuse("spec.versions: a version is named twice");
    }
    const former = readResource(snapshot, "Adapter", name);
    if (former === undefined || former.spec.versions.every(entry => known.has(entry.version))) {
        return;
    }
    const user = listOffersOf(snapshot, name).find(offer => offer.spec.versions.some(version => !known.has(version)));
    if (user !== undefined) {
        refuse(`spec.versions: ${describe(user)} offers a version that would go`);
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
        refuse(`spec.keyHashes: Caller ${other.metadata.name} has the same key`);
    }
}

function checkEngines(snapshot: ConfigSnapshot, upstream: ResourceOf<"Upstream">): void {
    const ids = upstream.spec.engines.map(engine => engine.id);
    const own = new Set(ids);
    if (own.size < ids.length) {
        refuse("spec.engines: an engine is named twice");
    }
    for (const other of listResources(snapshot, "Upstream")) {
        const shared = other.spec.engines.find(engine => own.has(engine.id));
        if (other.metadata.name !== upstream.metadata.name && shared !== undefined) {
            refuse(`spec.engines: ${shared.id} belongs to Upstream ${other.metadata.name}`);
        }
    }
}

function listOffersOf(snapshot: ConfigSnapshot, adapter: string): readonly ResourceOf<"Offer">[] {
    return filterResources(snapshot, "Offer", offer => offer.spec.adapter === adapter as AdapterName);
}

function describe(resource: Resource): string {
    return `${resource.kind} ${resource.metadata.name}`;
}

function refuse(message: string): never {
    throw new ServeError(message, { code: "conflict", step: "check references", peer: "operator", outcome: "not_run" });
}
