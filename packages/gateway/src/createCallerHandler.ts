import type { RetryBudget } from "@fulmarcleat/admission";
import type { EngineDriver, ServiceDriver } from "@fulmarcleat/drivers";
import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { readBody, sendJson } from "@fulmarcleat/http";
import { createId } from "@fulmarcleat/ids";
import type { CallerName, Clock, EngineId, RequestId } from "@fulmarcleat/ids";
import type { PolicySpec } from "@fulmarcleat/resources";
import findMyWay from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import { authenticateCaller } from "./authenticateCaller.js";
import type { OfferIndex } from "./buildOfferIndex.js";
import { createAnswerSink } from "./createAnswerSink.js";
import type { PlaceRouter } from "./createPlaceRouter.js";
import type { AnswerSink, Generation } from "./generation.js";
import { hashRequest } from "./hashRequest.js";
import { limitPriority } from "./limitPriority.js";
import { parseModel } from "./parseModel.js";
import { readCallerHeaders } from "./readCallerHeaders.js";
import { readGenerationBody } from "./readGenerationBody.js";
import type { GenerationKind } from "./readGenerationBody.js";
import { resolveModel } from "./resolveModel.js";
import { runGeneration } from "./runGeneration.js";
import { runKeyedGeneration } from "./runKeyedGeneration.js";
import { sendError } from "./sendError.js";
import { serveService } from "./serveService.js";
import type { KeyedClaims } from "./startClaimTask.js";
import { watchCancellation } from "./watchCancellation.js";

/** Dependencies and limits of the caller handler. */
export interface CallerHandlerOptions {
    readonly readIndex: () => OfferIndex;
    readonly readPolicy: () => PolicySpec;
    readonly router: PlaceRouter;
    readonly findEngine: (engine: EngineId) => EngineDriver | undefined;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Retry budget of the host; retries are unlimited if undefined. */
    readonly retries?: RetryBudget;
    /** Maximum size of a request body, in bytes. */
    readonly maxBodyBytes: number;
    /** Maximum time to receive a request body, in milliseconds. */
    readonly bodyTimeoutMs: number;
    /** Whether the host accepts requests: its configuration is complete and it is not stopping. */
    readonly isReady: () => boolean;
    /** Whether a graceful stop has started. */
    readonly isLeaving: () => boolean;
    /** Records a step of a request in the host's decision log. */
    readonly recordStep: (
        requestId: RequestId,
        generation: Generation | undefined,
        step: string,
        detail: string,
    ) => void;
    readonly claims: KeyedClaims;
    /** Returns the driver of the plain service at a URL. */
    readonly findService: (url: string) => ServiceDriver;
}

/** Handles one HTTP request. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** One request and the dependencies to handle it. */
interface CallContext extends CallerHandlerOptions {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    /** When the request arrived, in milliseconds of the host's clock. */
    readonly receivedMs: number;
}

/**
 * Creates the HTTP handler for callers: generation, models, plain services, health and metrics.
 *
 * @param options - Configuration access, router, drivers and limits
 * @returns a request listener for an HTTP server
 *
 * @example
 * const server = createServer(createCallerHandler(options));
 */
export function createCallerHandler(options: CallerHandlerOptions): HttpHandler {
    const router = findMyWay<findMyWay.HTTPVersion.V1>({
        defaultRoute: (req, res) => {
            const methods = METHODS.filter(method => router.find(method, readPath(req)) !== null);
            void handleRequest(
                options,
                req,
                res,
                () => methods.length === 0 ? rejectUnknownPath() : rejectMethod(res, methods),
            );
        },
    });
    router.on(
        "POST",
        "/v1/completions",
        (req, res) => handleRequest(options, req, res, call => handleGeneration("completion", call)),
    );
    router.on(
        "POST",
        "/v1/chat/completions",
        (req, res) => handleRequest(options, req, res, call => handleGeneration("chat", call)),
    );
    router.on(
        ["GET", "POST", "PUT", "PATCH", "DELETE"],
        "/services/*",
        (req, res) => handleRequest(options, req, res, serveService),
    );
    router.on("GET", "/v1/models", (req, res) => handleRequest(options, req, res, listModels));
    router.on("GET", "/healthz", (req, res) => sendJson(res, 200, { status: "ok" }));
    router.on(
        "GET",
        "/readyz",
        (req, res) => sendJson(res, options.isReady() ? 200 : 503, { ready: options.isReady() }),
    );
    router.on("GET", "/metrics", async (req, res) => {
        res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        res.end(await options.metrics.expose());
    });
    return (req, res) => router.lookup(req, res);
}

const METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;

function readPath(req: IncomingMessage): string {
    return (req.url ?? "").split("?")[0] ?? "";
}

function rejectMethod(res: ServerResponse, methods: readonly string[]): Promise<void> {
    res.setHeader("allow", methods.join(", "));
    throw new ServeError(`this path supports only ${methods.join(", ")}`, {
        code: "method_not_allowed",
        step: "route",
        peer: "caller",
        outcome: "not_run",
    });
}

async function handleRequest(
    options: CallerHandlerOptions,
    req: IncomingMessage,
    res: ServerResponse,
    respond: (call: CallContext) => Promise<void>,
): Promise<void> {
    const requestId = createId<RequestId>();
    res.setHeader("x-request-id", requestId);
    try {
        assertAcceptsRequests(options);
        await respond({ ...options, req, res, requestId, receivedMs: options.clock.nowMs() });
    }
    catch (err) {
        const failure = toServeError(err, { code: "internal", step: "serve", peer: "self", outcome: "unknown" });
        options.metrics.count("refusals_total", { reason: failure.code, outcome: failure.outcome });
        options.log.write("info", failure.outcome === "not_run" ? 400 : 401, {
            requestId,
            code: failure.code,
            step: failure.step,
            peer: failure.peer,
            outcome: failure.outcome,
        });
        options.recordStep(requestId, undefined, "error", `${failure.code} ${failure.outcome} at ${failure.step}`);
        sendError(res, failure, requestId);
    }
}

function assertAcceptsRequests(options: CallerHandlerOptions): void {
    if (options.isReady()) {
        return;
    }
    const isLeaving = options.isLeaving();
    throw new ServeError(isLeaving ? "this host is stopping" : "this host has not loaded its configuration yet", {
        code: isLeaving ? "stopping" : "not_ready",
        step: "accept",
        peer: "self",
        outcome: "not_run",
        retryAfterMs: 1000,
    });
}

function rejectUnknownPath(): Promise<void> {
    throw new ServeError("the requested path does not exist", {
        code: "not_found",
        step: "route",
        peer: "caller",
        outcome: "not_run",
    });
}

async function handleGeneration(kind: GenerationKind, call: CallContext): Promise<void> {
    const { req, res, requestId, clock, metrics } = call;
    const index = call.readIndex();
    const caller = authenticateCaller(index, req.headers.authorization);
    const headers = readCallerHeaders(req.headers);
    const bytes = await readBody(req, {
        maxBytes: call.maxBodyBytes,
        timeoutMs: call.bodyTimeoutMs,
        clock,
        peer: "caller",
    });
    const parsed = parseJson(decodeText(bytes));
    const body = readGenerationBody(kind, parsed);
    const offered = resolveModel(index, caller, parseModel(body.model));
    const policy = call.readPolicy();
    const priority = limitPriority(offered.priority, headers.priority);
    const deadlineMs = call.receivedMs + Math.min(headers.deadlineMs ?? policy.defaultDeadlineMs, policy.maxRequestMs);
    const generation: Generation = {
        requestId,
        caller,
        offered,
        priority,
        input: body.input,
        sampling: body.sampling,
        maxTokens: body.maxTokens,
        deadlineMs,
        key: headers.key,
        requestHash: hashRequest(req.url ?? "", parsed),
    };
    const model = `${offered.adapter}@${offered.version}`;
    const cancellation = watchCancellation(res, clock, deadlineMs);
    const createSink = (ranModel: string, replayed: boolean): AnswerSink => {
        if (replayed) {
            res.setHeader("fulmarcleat-replay", "true");
        }
        return createAnswerSink(res, {
            kind,
            stream: body.stream,
            requestId,
            model: ranModel,
            createdMs: clock.wallMs(),
            signal: cancellation.signal,
            onFirstChunk: () =>
                metrics.record("time_to_first_token", clock.nowMs() - call.receivedMs, { class: priority }),
            onComplete: () => undefined,
        });
    };
    metrics.count("requests_total", { class: priority });
    call.recordStep(requestId, generation, "accept", `${model} ${priority}`);
    try {
        const context = {
            ...call,
            recordStep: (recorded: Generation, step: string, detail: string) =>
                call.recordStep(requestId, recorded, step, detail),
            signal: cancellation.signal,
        };
        if (headers.key === undefined) {
            await runGeneration(generation, createSink(model, false), { ...context, claim: () => Promise.resolve() });
        }
        else {
            await runKeyedGeneration(generation, headers.key, { ...context, createSink });
        }
        call.recordStep(requestId, generation, "answered", model);
    }
    finally {
        cancellation.clear();
    }
}

function decodeText(bytes: Buffer): string {
    try {
        return new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    }
    catch (cause) {
        throw new ServeError("the request body is not valid UTF-8", { ...INVALID_BODY_DETAILS, cause });
    }
}

const INVALID_BODY_DETAILS = { code: "bad_request", step: "read body", peer: "caller", outcome: "not_run" } as const;

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (cause) {
        throw new ServeError("the request body is not valid JSON", { ...INVALID_BODY_DETAILS, cause });
    }
}

function listModels(call: CallContext): Promise<void> {
    const index = call.readIndex();
    const caller: CallerName = authenticateCaller(index, call.req.headers.authorization);
    const names = new Set(
        index.listOffered(caller).flatMap(offer =>
            offer.spec.versions.map(version => `${offer.spec.adapter}@${version}`)
        ),
    );
    const data = [...names].sort().map(id => ({ id, object: "model", created: 0, owned_by: "fulmarcleat" }));
    sendJson(call.res, 200, { object: "list", data });
    return Promise.resolve();
}
