import { ServeError, toErrorBody } from "@fulmarcleat/errors";
import { readBody, sendJson } from "@fulmarcleat/http";
import { readResource } from "@fulmarcleat/resources";
import type { ConfigOp, ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import type { ApiCall } from "./createApiHandler.js";
import { decideChange } from "./decideChange.js";
import type { ChangeRequest, ExpectedVersion } from "./decideChange.js";
import { parseIfMatch } from "./parseIfMatch.js";
import { parseResource } from "./parseResource.js";
import type { FieldProblem } from "./parseResource.js";

/**
 * Commits the change that a POST, PUT, PATCH or DELETE request specifies and sends the reply.
 *
 * @param call - The authenticated request with its parsed path
 * @returns a promise that resolves once the reply is sent
 * @throws ServeError if the change is refused, or if it is unknown whether it was committed
 *
 * @example
 * await answerChange(call);
 */
export async function answerChange(call: ApiCall): Promise<void> {
    const { kind, config, operator } = call;
    if (kind === undefined) {
        throw createBadRequest("the request path must contain a resource kind");
    }
    const parsed = await parseRequest(call, kind);
    if (parsed.kind === "invalid") {
        sendFieldProblems(call, parsed.fields);
        return;
    }
    const { request, ref } = parsed;
    if (call.query.get("dryRun") === "true") {
        const op = decideChange(config.snapshot, config.snapshot.seq + 1, request);
        sendResult(call, request, ref, op, { "fulmarcleat-dry-run": "true" });
        return;
    }
    const change = await call.committer.commit(
        operator.name,
        (snapshot, seq) => decideChange(snapshot, seq, request),
    );
    call.metrics.count("config_changes_total", { kind, request: request.kind });
    sendResult(call, request, ref, change?.op, {});
}

type ParsedRequest =
    | { readonly kind: "valid"; readonly request: ChangeRequest; readonly ref: ResourceRef }
    | { readonly kind: "invalid"; readonly fields: readonly FieldProblem[] };

async function parseRequest(call: ApiCall, kind: ResourceKind): Promise<ParsedRequest> {
    const ref: ResourceRef = { kind, name: call.name };
    const expected = parseIfMatch(call.req.headers["if-match"]);
    if (call.req.method === "DELETE") {
        return { kind: "valid", ref, request: { kind: "delete", ref, expected } };
    }
    const bytes = await readBody(call.req, {
        maxBytes: call.cfg.maxBodyBytes,
        timeoutMs: call.cfg.bodyTimeoutMs,
        clock: call.clock,
        peer: "operator",
    });
    const value = parseJson(bytes);
    if (call.req.method === "PATCH") {
        return {
            kind: "valid",
            ref,
            request: { kind: "patch", ref, patch: value, expected: expected ?? readPatchVersion(value) },
        };
    }
    const parsed = parseResource(value, ref);
    if (parsed.kind === "invalid") {
        return parsed;
    }
    const { resource } = parsed;
    const bodyVersion = resource.metadata.resourceVersion;
    return {
        kind: "valid",
        ref: { kind, name: resource.metadata.name },
        request: call.req.method === "POST"
            ? { kind: "create", resource }
            : { kind: "replace", resource, expected: expected ?? (bodyVersion === 0 ? undefined : bodyVersion) },
    };
}

function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        throw createBadRequest("the request body is not valid JSON");
    }
}

function readPatchVersion(patch: unknown): ExpectedVersion {
    const metadata = typeof patch === "object" && patch !== null && "metadata" in patch ? patch.metadata : undefined;
    const version = typeof metadata === "object" && metadata !== null && "resourceVersion" in metadata
        ? metadata.resourceVersion
        : undefined;
    return typeof version === "number" && version > 0 ? version : undefined;
}

function sendResult(
    call: ApiCall,
    request: ChangeRequest,
    ref: ResourceRef,
    op: ConfigOp | undefined,
    headers: Readonly<Record<string, string>>,
): void {
    if (op?.kind === "delete") {
        sendJson(call.res, 200, { deleted: ref, resourceVersion: call.config.snapshot.seq }, headers);
        return;
    }
    const resource = op?.resource ?? readResource<ResourceKind>(call.config.snapshot, ref.kind, ref.name);
    const isNew = request.kind === "create" || resource?.metadata.generation === 1;
    sendJson(call.res, isNew && op !== undefined ? 201 : 200, resource, {
        etag: `"${resource?.metadata.resourceVersion ?? 0}"`,
        "fulmarcleat-changed": String(op !== undefined),
        ...headers,
    });
}

function sendFieldProblems(call: ApiCall, fields: readonly FieldProblem[]): void {
    const err = createBadRequest(fields.map(problem => `${problem.field}: ${problem.message}`).join("\n"));
    call.metrics.count("refusals_total", { reason: err.code, outcome: err.outcome });
    sendJson(call.res, 400, { ...toErrorBody(err, call.requestId), fields }, { "fulmarcleat-outcome": "not_run" });
}

function createBadRequest(message: string): ServeError {
    return new ServeError(message, { code: "bad_request", step: "read request", peer: "operator", outcome: "not_run" });
}
