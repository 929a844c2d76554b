import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource, ResourceRef } from "@fulmarcleat/resources";

/** Validation error of one field. */
export interface FieldProblem {
    /** Path of the field, such as `spec.versions.0.weights`. */
    readonly field: string;
    readonly message: string;
}

/** A valid resource, or its validation errors. */
export type ParsedResource =
    | { readonly kind: "valid"; readonly resource: Resource }
    | { readonly kind: "invalid"; readonly fields: readonly FieldProblem[] };

/**
 * Validates a resource that an operator sent. A `status` in it is ignored, so that a read resource can be sent back.
 *
 * @param value - Parsed JSON of the request body
 * @param ref - Kind and name in the request path; with an empty name, the name is taken from the body
 * @returns the resource, or an error for each invalid field
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
