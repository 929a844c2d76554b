import type { ServiceAnswer, ServiceDriver } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import { readBody } from "@fulmarcleat/http";
import type { CallerName, Clock, RequestId } from "@fulmarcleat/ids";
import { hashSecret } from "@fulmarcleat/resources";
import type { ResourceOf } from "@fulmarcleat/resources";
import type { IncomingMessage, ServerResponse } from "node:http";
import { authenticateCaller } from "./authenticateCaller.js";
import type { OfferIndex } from "./buildOfferIndex.js";
import { callService } from "./callService.js";
import { matchServiceRoute } from "./matchServiceRoute.js";
import type { ServiceRoute } from "./matchServiceRoute.js";
import { readCallerHeaders } from "./readCallerHeaders.js";
import { runKeyedRequest } from "./runKeyedRequest.js";
import type { KeyedClaims } from "./startClaimTask.js";

/** A call to a plain service and the dependencies to serve it. */
export interface ServiceContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    /** When the request arrived, in milliseconds of the host's clock. */
    readonly receivedMs: number;
    readonly readIndex: () => OfferIndex;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly maxBodyBytes: number;
    readonly bodyTimeoutMs: number;
    readonly claims: KeyedClaims;
    readonly findService: (url: string) => ServiceDriver;
}

const SERVICE_PATH_PREFIX = "/services/";
/** Request headers passed on to the service. */
const FORWARDED_HEADERS = ["content-type", "accept", "idempotency-key"] as const;
/** Retry delay sent to callers of a draining service, in milliseconds. */
const DRAINING_RETRY_MS = 1000;
const ERROR_DETAILS = { step: "route service", peer: "caller", outcome: "not_run" } as const;

/**
 * Serves a call to a plain service: calls without a key may be retried, keyed calls run at most once.
 *
 * @param context - Request, response and the dependencies to serve them
 * @returns nothing, after the response was sent
 * @throws ServeError with the outcome of the call
 *
 * @example
 * router.all("/services/*", (req, res) => handleRequest(options, req, res, serveService));
 */
export async function serveService(context: ServiceContext): Promise<void> {
    const { req, clock } = context;
    const index = context.readIndex();
    const caller = authenticateCaller(index, req.headers.authorization);
    const headers = readCallerHeaders(req.headers);
    const target = parseServiceUrl(req.url ?? "");
    const service = findOfferedService(index, caller, target.service);
    const route = findRoute(service, req.method ?? "", target.path);
    if (!route.repeatable && headers.key === undefined) {
        throw new ServeError("this route is not repeatable and requires an Idempotency-Key header", {
            ...ERROR_DETAILS,
            code: "key_required",
        });
    }
    const body = await readBody(req, {
        maxBytes: context.maxBodyBytes,
        timeoutMs: context.bodyTimeoutMs,
        clock,
        peer: "caller",
    });
    const timeoutMs = Math.min(route.timeoutMs, headers.deadlineMs ?? route.timeoutMs);
    const call = {
        method: route.method,
        path: `${target.path}${target.query}`,
        headers: { ...readForwardedHeaders(req), "x-request-id": context.requestId },
        body,
        urls: service.spec.urls,
        isAtMostOnce: headers.key !== undefined,
        timeoutMs,
    };
    if (headers.key === undefined) {
        sendAnswer(context.res, await callService(call, context), false);
        return;
    }
    const requestHash = hashSecret(`${call.method} ${target.service}${call.path}\n${body.toString("base64")}`);
    const deadlineMs = context.receivedMs + timeoutMs;
    const keyedRequest = { caller, key: headers.key, requestHash, requestId: context.requestId, deadlineMs };
    const result = await runKeyedRequest(context.claims, keyedRequest, async hooks => {
        await hooks.claim();
        const answer = await callService(call, context);
        await hooks.finish({
            kind: "service",
            status: answer.status,
            contentType: answer.headers["content-type"] ?? "application/octet-stream",
            body: answer.body,
        });
        sendAnswer(context.res, answer, false);
    });
    if (result.kind === "replay" && result.answer.kind === "service") {
        const { status, contentType, body: storedBody } = result.answer;
        context.metrics.count("replays_total");
        sendAnswer(context.res, { status, headers: { "content-type": contentType }, body: storedBody }, true);
    }
}

function parseServiceUrl(url: string): { readonly service: string; readonly path: string; readonly query: string } {
    const queryStart = url.indexOf("?");
    const fullPath = queryStart < 0 ? url : url.slice(0, queryStart);
    const rest = fullPath.slice(SERVICE_PATH_PREFIX.length);
    const slash = rest.indexOf("/");
    return {
        service: slash < 0 ? rest : rest.slice(0, slash),
        path: slash < 0 ? "/" : rest.slice(slash),
        query: queryStart < 0 ? "" : url.slice(queryStart),
    };
}

function findOfferedService(index: OfferIndex, caller: CallerName, name: string): ResourceOf<"Service"> {
    const service = index.findService(name);
    if (service === undefined) {
        throw new ServeError("the service does not exist", { ...ERROR_DETAILS, code: "unknown_service" });
    }
    if (!service.spec.callers.includes(caller)) {
        throw new ServeError("the service is not offered to this caller", { ...ERROR_DETAILS, code: "not_offered" });
    }
    if (service.spec.draining) {
        throw new ServeError("the service is draining and accepts no new requests", {
            ...ERROR_DETAILS,
            code: "no_upstream",
            peer: name,
            retryAfterMs: DRAINING_RETRY_MS,
        });
    }
    return service;
}

function findRoute(service: ResourceOf<"Service">, method: string, path: string): ServiceRoute {
    const route = matchServiceRoute(service.spec.routes, method, path);
    if (route === undefined) {
        throw new ServeError("the service has no route for this method and path", {
            ...ERROR_DETAILS,
            code: "not_found",
        });
    }
    return route;
}

function readForwardedHeaders(req: IncomingMessage): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const name of FORWARDED_HEADERS) {
        const value = req.headers[name];
        if (typeof value === "string") {
            forwarded[name] = value;
        }
    }
    return forwarded;
}

function sendAnswer(res: ServerResponse, answer: ServiceAnswer, replayed: boolean): void {
    if (res.destroyed) {
        return;
    }
    res.writeHead(answer.status, {
        "content-type": answer.headers["content-type"] ?? "application/octet-stream",
        "fulmarcleat-outcome": "ran",
        ...(replayed ? { "fulmarcleat-replay": "true" } : {}),
    });
    res.end(answer.body);
}
