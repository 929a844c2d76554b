import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource, ResourceRef } from "@fulmarcleat/resources";

/** What is wrong with one field. */
export interface FieldProblem {
    /** Where the field is, such as `spec.versions.0.weights`. */
    readonly field: string;
    readonly message: string;
}

/** A checked resource, or what is wrong with it. */
export type ParsedResource =
    | { readonly kind: "valid"; readonly resource: Resource }
    | { readonly kind: "invalid"; readonly fields: readonly FieldProblem[] };

/**
 * Checks a resource as an operator sent it.
 *
 * @param value - The parsed JSON
 * @param ref - Kind and name as the path gives them; an empty name leaves the name to the body
 * @returns the resource, or a problem for each field that is not allowed
 *
 * @example
 * const parsed = parseResource(JSON.parse(body), { kind: "Offer", name: "levy" });
 */
export function parseResource(value: unknown, ref: ResourceRef): ParsedResource {
    const result = resourceSchema.safeParse(dropStatus(value));
    if (!result.success) {
        return {
            kind: "invalid",
            fields: result.error.issues.map(issue => ({ field: issue.path.join("."), message: issue.message })),
        };
    }
    const { kind, metadata } = result.data;
    const fields: FieldProblem[] = [];
    if (kind !== ref.kind) {
        fields.push({ field: "kind", message: `the path says ${ref.kind}` });
    }
    if (ref.name !== "" && metadata.name !== ref.name) {
        fields.push({ field: "metadata.name", message: `the path says ${ref.name}` });
    }
    return fields.length > 0 ? { kind: "invalid", fields } : { kind: "valid", resource: result.data };
}

function dropStatus(value: unknown): unknown {
    if (typeof value !== "object" || value === null || !("status" in value)) {
        return value;
    }
    const rest: Record<string, unknown> = { ...value };
    delete rest["status"];
    return rest;
}
