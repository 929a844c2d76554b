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
import { runKeyed } from "./runKeyed.js";
import type { KeyedClaims } from "./startClaimTask.js";

/** One call to a plain service, and what it needs. */
export interface ServiceContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    readonly receivedMs: number;
    readonly readIndex: () => OfferIndex;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly maxBodyBytes: number;
    readonly bodyTimeoutMs: number;
    readonly claims: KeyedClaims;
    readonly findService: (url: string) => ServiceDriver;
}

const PREFIX = "/services/";
const FORWARDED = ["content-type", "accept", "idempotency-key"] as const;
const DRAINING_RETRY_MS = 1000;
const DETAILS = { step: "route service", peer: "caller", outcome: "not_run" } as const;

/**
 * Serves a call to a plain service: repeatable ones with retries, others at most once.
 *
 * @param context - The call
 * @returns nothing, once the answer is sent
 * @throws ServeError with the call's true outcome
 *
 * @example
 * router.all("/services/*", (req, res) => handle(options, req, res, serveService));
 */
export async function serveService(context: ServiceContext): Promise<void> {
    const { req, clock } = context;
    const index = context.readIndex();
    const caller = authenticateCaller(index, req.headers.authorization);
    const headers = readCallerHeaders(req.headers);
    const target = readTarget(req.url ?? "");
    const service = findOfferedService(index, caller, target.service);
    const route = findRoute(service, req.method ?? "", target.path);
    if (!route.repeatable && headers.key === undefined) {
        throw new ServeError("this call may not be repeated and needs an Idempotency-Key", {
            ...DETAILS,
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
        headers: { ...readForwarded(req), "x-request-id": context.requestId },
        body,
        urls: service.spec.urls,
        isOnce: headers.key !== undefined,
        timeoutMs,
    };
    if (headers.key === undefined) {
        sendAnswer(context.res, await callService(call, context), false);
        return;
    }
    const requestHash = hashSecret(`${call.method} ${target.service}${call.path}\n${body.toString("base64")}`);
    const deadlineMs = context.receivedMs + timeoutMs;
    const need = { caller, key: headers.key, requestHash, requestId: context.requestId, deadlineMs };
    const result = await runKeyed(context.claims, need, async hooks => {
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
        const { status, contentType, body: kept } = result.answer;
        context.metrics.count("replays_total");
        sendAnswer(context.res, { status, headers: { "content-type": contentType }, body: kept }, true);
    }
}

function readTarget(url: string): { readonly service: string; readonly path: string; readonly query: string } {
    const mark = url.indexOf("?");
    const whole = mark < 0 ? url : url.slice(0, mark);
    const rest = whole.slice(PREFIX.length);
    const slash = rest.indexOf("/");
    return {
        service: slash < 0 ? rest : rest.slice(0, slash),
        path: slash < 0 ? "/" : rest.slice(slash),
        query: mark < 0 ? "" : url.slice(mark),
    };
}

function findOfferedService(index: OfferIndex, caller: CallerName, name: string): ResourceOf<"Service"> {
    const service = index.findService(name);
    if (service === undefined) {
        throw new ServeError("there is no such service", { ...DETAILS, code: "unknown_service" });
    }
    if (!service.spec.callers.includes(caller)) {
        throw new ServeError("the service is not offered to this caller", { ...DETAILS, code: "not_offered" });
    }
    if (service.spec.draining) {
        throw new ServeError("the service takes no new work", {
            ...DETAILS,
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
        throw new ServeError("the service has no such route", { ...DETAILS, code: "not_found" });
    }
    return route;
}

function readForwarded(req: IncomingMessage): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const name of FORWARDED) {
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
