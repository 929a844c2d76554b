import { ServeError } from "@fulmarcleat/errors";
import { sendJson } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, RequestId } from "@fulmarcleat/ids";
import { readResource } from "@fulmarcleat/resources";
import type { Resource, ResourceKind } from "@fulmarcleat/resources";
import type { ApiCall } from "./createApiHandler.js";
import { describeInForce, describeStatus } from "./describeStatus.js";
import { gatherDecisions, gatherStatus } from "./gatherStatus.js";
import { listHistory } from "./listHistory.js";
import { listPage } from "./listPage.js";
import { streamWatch } from "./streamWatch.js";

/**
 * Answers a GET request: resources, status, history, decisions or a watch.
 *
 * @param call - The authenticated request with its parsed path
 * @returns a promise that resolves once the reply is sent, or once a watch has started
 * @throws ServeError `not_found`, `bad_request` or `too_old`
 *
 * @example
 * await answerRead(call);
 */
export async function answerRead(call: ApiCall): Promise<void> {
    switch (call.view) {
        case "resource":
            answerResource(call);
            return;
        case "status":
            await answerStatus(call);
            return;
        case "history":
            sendJson(call.res, 200, listHistory(call.config.recent, call));
            return;
        case "explain":
            await answerExplain(call);
            return;
        case "watch":
            startWatch(call);
            return;
    }
}

function answerResource(call: ApiCall): void {
    const { kind, name, query, res, config } = call;
    if (kind === undefined) {
        throw createReadError("not_found", "the request path must contain a resource kind");
    }
    if (name !== "") {
        const resource = findResource(call, kind);
        sendJson(res, 200, resource, { etag: `"${resource.metadata.resourceVersion}"` });
        return;
    }
    if (query.get("watch") === "true") {
        startWatch(call);
        return;
    }
    sendJson(res, 200, listPage(config.snapshot, kind, query));
}

function findResource(call: ApiCall, kind: ResourceKind): Resource {
    const resource = readResource<ResourceKind>(call.config.snapshot, kind, call.name);
    if (resource === undefined) {
        throw createReadError("not_found", `${kind} ${call.name} does not exist`);
    }
    return resource;
}

async function answerStatus(call: ApiCall): Promise<void> {
    if (call.kind !== undefined) {
        const resource = findResource(call, call.kind);
        sendJson(call.res, 200, describeStatus(resource, await gatherStatus(call.gather)));
        return;
    }
    const seq = readSeq(call, call.config.snapshot.seq);
    const gathered = await gatherStatus(call.gather);
    sendJson(call.res, 200, {
        ...describeInForce(seq, gathered),
        accepted: call.config.snapshot.seq,
        hosts: gathered.hosts,
    });
}

async function answerExplain(call: ApiCall): Promise<void> {
    const requestId = call.query.get("request");
    const adapter = call.query.get("adapter");
    if ((requestId === null) === (adapter === null)) {
        throw createReadError("bad_request", "pass exactly one of the query parameters request and adapter");
    }
    sendJson(
        call.res,
        200,
        await gatherDecisions(call.gather, {
            requestId: requestId === null ? undefined : brandId<RequestId>(requestId),
            adapter: adapter === null ? undefined : brandId<AdapterName>(adapter),
        }),
    );
}

function startWatch(call: ApiCall): void {
    const { config, clock, metrics, kind, cfg, stopping } = call;
    const after = readSeq(call, config.snapshot.seq);
    const oldestKeptSeq = config.recent[0]?.seq ?? config.snapshot.seq + 1;
    if (after + 1 < oldestKeptSeq) {
        throw createReadError(
            "too_old",
            `changes before resourceVersion ${oldestKeptSeq} are no longer kept; list again`,
        );
    }
    streamWatch(call.res, { config, clock, metrics, kind, after, bookmarkMs: cfg.bookmarkMs, stopping });
}

function readSeq(call: ApiCall, fallback: number): number {
    const text = call.query.get("resourceVersion");
    const seq = text === null ? fallback : Number(text);
    if (!Number.isSafeInteger(seq) || seq < 0) {
        throw createReadError("bad_request", "resourceVersion must be a non-negative integer");
    }
    return seq;
}

function createReadError(code: "not_found" | "bad_request" | "too_old", message: string): ServeError {
    return new ServeError(message, { code, step: "read", peer: "operator", outcome: "not_run" });
}
