import type { Committer, ConfigTask } from "@fulmarcleat/config";
import { ServeError, toErrorBody, toErrorStatus, toServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { sendJson } from "@fulmarcleat/http";
import { createId } from "@fulmarcleat/ids";
import type { Clock, RequestId } from "@fulmarcleat/ids";
import { readResource, RESOURCE_KINDS } from "@fulmarcleat/resources";
import type { ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import findMyWay from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerChange } from "./answerChange.js";
import { answerRead } from "./answerRead.js";
import type { ApiSettings } from "./apiSettings.js";
import { authenticateOperator } from "./authenticateOperator.js";
import type { Operator } from "./authenticateOperator.js";
import type { GatherOptions } from "./gatherStatus.js";

/** Dependencies of the operator API handler. */
export interface ApiHandlerOptions {
    readonly cfg: ApiSettings;
    readonly config: ConfigTask;
    readonly committer: Committer;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly gather: GatherOptions;
    readonly stopping: AbortSignal;
}

/** An operator's authenticated request with its parsed path. */
export interface ApiCall extends ApiHandlerOptions {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    readonly operator: Operator;
    readonly query: URLSearchParams;
    /** Resource kind in the path; undefined if the path has none. */
    readonly kind: ResourceKind | undefined;
    /** Resource name in the path; empty if the path has none. */
    readonly name: string;
    /** Part of the API that the path selects. */
    readonly view: ReadView;
}

/** Kind of data that a GET request returns. */
export type ReadView = "resource" | "status" | "history" | "explain" | "watch";

type CallHandler = (call: ApiCall) => Promise<void>;

/**
 * Creates the HTTP handler of the operator API, with its health, readiness and metrics endpoints.
 *
 * @param options - Settings, configuration, committer and the peers to collect status from
 * @returns the request listener for an HTTP server
 *
 * @example
 * const server = createServer(createApiHandler(options));
 */
export function createApiHandler(options: ApiHandlerOptions): (req: IncomingMessage, res: ServerResponse) => void {
    const router = findMyWay<findMyWay.HTTPVersion.V1>({
        defaultRoute: (req, res) => void handle(options, req, res, { view: "resource" }, refusePath),
    });
    const isReady = (): boolean => options.config.complete && !options.stopping.aborted;
    const read = (path: string, view: ReadView): void => {
        router.on("GET", path, (req, res, params) => handle(options, req, res, { ...params, view }, answerRead));
    };
    read("/apis/v1/status", "status");
    read("/apis/v1/history", "history");
    read("/apis/v1/explain", "explain");
    read("/apis/v1/watch", "watch");
    read("/apis/v1/:kind", "resource");
    read("/apis/v1/:kind/:name", "resource");
    read("/apis/v1/:kind/:name/status", "status");
    read("/apis/v1/:kind/:name/history", "history");
    router.on(
        "POST",
        "/apis/v1/:kind",
        (req, res, params) => handle(options, req, res, { ...params, view: "resource" }, answerChange),
    );
    router.on(
        ["PUT", "PATCH", "DELETE"],
        "/apis/v1/:kind/:name",
        (req, res, params) => handle(options, req, res, { ...params, view: "resource" }, answerChange),
    );
    router.on("GET", "/healthz", (req, res) => sendJson(res, 200, { status: "ok" }));
    router.on("GET", "/readyz", (req, res) => sendJson(res, isReady() ? 200 : 503, { ready: isReady() }));
    router.on("GET", "/metrics", async (req, res) => {
        res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        res.end(await options.metrics.expose());
    });
    return (req, res) => router.lookup(req, res);
}

interface PathParts {
    readonly kind?: string;
    readonly name?: string;
    readonly view: ReadView;
}

async function handle(
    options: ApiHandlerOptions,
    req: IncomingMessage,
    res: ServerResponse,
    path: PathParts,
    answer: CallHandler,
): Promise<void> {
    const requestId = createId<RequestId>();
    res.setHeader("x-request-id", requestId);
    let kind: ResourceKind | undefined;
    try {
        assertReady(options);
        const { cfg, config } = options;
        const operator = authenticateOperator(config.snapshot, req.headers.authorization, cfg.firstTokenHash);
        kind = path.kind === undefined ? undefined : parseKind(path.kind);
        assertAllowed(operator, req.method, kind);
        const query = new URL(req.url ?? "/", "http://api").searchParams;
        await answer({
            ...options,
            req,
            res,
            requestId,
            operator,
            query,
            kind,
            name: path.name ?? "",
            view: path.view,
        });
    }
    catch (err) {
        const failure = toServeError(err, { code: "internal", step: "serve", peer: "self", outcome: "unknown" });
        options.metrics.count("refusals_total", { reason: failure.code, outcome: failure.outcome });
        options.log.write("info", 700, {
            requestId,
            code: failure.code,
            step: failure.step,
            peer: failure.peer,
            outcome: failure.outcome,
        });
        const ref = kind === undefined || path.name === undefined ? undefined : { kind, name: path.name };
        sendFailure(options, res, failure, requestId, ref);
    }
}

function assertReady(options: ApiHandlerOptions): void {
    if (options.stopping.aborted || !options.config.complete) {
        const code = options.stopping.aborted ? "stopping" : "not_ready";
        throw new ServeError("this host does not accept new requests", {
            code,
            step: "accept",
            peer: "self",
            outcome: "not_run",
            retryAfterMs: 1000,
        });
    }
}

function parseKind(text: string): ResourceKind {
    const kind = RESOURCE_KINDS.find(candidate => candidate === text);
    if (kind === undefined) {
        throw new ServeError(`kind ${text} does not exist; the kinds are ${RESOURCE_KINDS.join(", ")}`, {
            code: "not_found",
            step: "route",
            peer: "operator",
            outcome: "not_run",
        });
    }
    return kind;
}

function assertAllowed(operator: Operator, method: string | undefined, kind: ResourceKind | undefined): void {
    const isAllowed = method === "GET" ? operator.read : kind !== undefined && operator.write.includes(kind);
    if (!isAllowed) {
        throw new ServeError(
            `operator ${operator.name} is not allowed to ${method === "GET" ? "read" : `write ${kind ?? ""}`}`,
            {
                code: "forbidden",
                step: "authorize",
                peer: "operator",
                outcome: "not_run",
            },
        );
    }
}

function refusePath(): Promise<void> {
    return Promise.reject(
        new ServeError("no resource or endpoint exists at this path", {
            code: "not_found",
            step: "route",
            peer: "operator",
            outcome: "not_run",
        }),
    );
}

const MS_PER_SECOND = 1000;

function sendFailure(
    options: ApiHandlerOptions,
    res: ServerResponse,
    err: ServeError,
    requestId: RequestId,
    ref: ResourceRef | undefined,
): void {
    const current = err.code === "conflict" && ref !== undefined
        ? readResource<ResourceKind>(options.config.snapshot, ref.kind, ref.name)
        : undefined;
    const body = { ...toErrorBody(err, requestId), ...(current === undefined ? {} : { current }) };
    sendJson(res, toErrorStatus(err.code), body, {
        "fulmarcleat-outcome": err.outcome,
        ...(err.retryAfterMs === undefined
            ? {}
            : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND))) }),
    });
}
