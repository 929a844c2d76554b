import type { ServingConfig } from "@fulmarcleat/directory";
import { canFinishBeforeStop, chooseRetryAfter, matchRoute, pickTarget } from "@fulmarcleat/dispatch";
import { toErrorStatus, toServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import { readBody } from "@fulmarcleat/http";
import type { RequestId } from "@fulmarcleat/ids";
import { parseClientHead, promisesNotRun } from "@fulmarcleat/platform";
import type { ClientHead } from "@fulmarcleat/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestEnd } from "./applyAttempt.js";
import type { Knowledge } from "./createKnowledge.js";
import type { FrontContext } from "./frontContext.js";
import { createAnswerRelay, writeAnswerHead } from "./relayAnswer.js";
import type { RequestWork } from "./requestWork.js";
import type { RequestRunner } from "./runRequest.js";

/** Serves clients' requests. */
export interface ClientHandler {
    handle(req: IncomingMessage, res: ServerResponse): void;
    /** Requests under way. */
    readonly running: number;
}

/** How much later than its time a request is ended, in milliseconds; engines answer at the very end. */
const END_SLACK_MS = 80;
/** Milliseconds in a second. */
const MS_PER_S = 1000;
/** Longest time until a request's body is there, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
/** When a client should come back to a host without a configuration, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;
/** When a client that came to a stopping host should try another, in milliseconds. */
const STOPPING_RETRY_MS = 30;
const SERVER_ERROR_STATUS = { bad: 502, late: 504 } as const;

/**
 * Creates the handler of clients' requests.
 *
 * @param context - Clock, log and metrics
 * @param knowledge - Configuration in force
 * @param runner - Takes requests to engines
 * @param readStopMs - When the process ends; undefined where no stop has begun
 * @returns the handler
 *
 * @example
 * createServer(createClientHandler(context, knowledge, runner, () => undefined).handle);
 */
export function createClientHandler(
    context: FrontContext,
    knowledge: Knowledge,
    runner: RequestRunner,
    readStopMs: () => number | undefined,
): ClientHandler {
    const isStopping = (): boolean => readStopMs() !== undefined;
    const { clock, log, metrics, random } = context;
    let running = 0;
    const refuse = (res: ServerResponse, requestId: string, refusal: Refusal): void => {
        metrics.count("refusals_total", { reason: refusal.reason });
        log.write(refusal.status === 404 ? "info" : "warn", refusal.outcome === "not_run" ? 400 : 401, {
            id: requestId,
            status: refusal.status,
            reason: refusal.reason,
            outcome: refusal.outcome,
            retryAfterMs: refusal.retryAfterMs,
            heldMs: refusal.heldMs,
            expectedWaitMs: refusal.expectedWaitMs,
        });
        writeRefusal(res, refusal, isStopping());
    };
    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const startedMs = clock.nowMs();
        const head = parseClientHead(req.rawHeaders);
        const id = head.requestId ?? "none";
        const plan = planRequest(head, req, knowledge, context);
        if (plan.kind === "refused") {
            req.resume();
            refuse(res, id, { ...plan, outcome: "not_run", heldMs: 0 });
            return;
        }
        const { config, route, service, requestId } = plan;
        const stopsAtMs = readStopMs();
        if (stopsAtMs !== undefined && !canFinishBeforeStop(route.kind, route.timeoutMs, stopsAtMs - startedMs)) {
            req.resume();
            const status = toErrorStatus("stopping");
            refuse(res, id, {
                status,
                reason: "stopping",
                outcome: "not_run",
                heldMs: 0,
                retryAfterMs: STOPPING_RETRY_MS,
            });
            return;
        }
        const ender = new AbortController();
        const endsAtMs = startedMs + Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
        const cancelEnd = clock.setTimer(endsAtMs - startedMs + END_SLACK_MS, () => ender.abort());
        let hasLeft = false;
        res.on("close", () => {
            if (!res.writableFinished) {
                hasLeft = true;
                ender.abort();
            }
        });
        try {
            const limits = {
                maxBytes: config.limits.bodyBytes,
                timeoutMs: BODY_TIMEOUT_MS,
                clock,
                peer: "caller",
            } as const;
            const body = hasBody(req) ? await readBody(req, limits) : Buffer.alloc(0);
            const relay = route.kind === "streaming"
                ? createAnswerRelay(res, { byEvent: route.isResumable, isClosing: isStopping })
                : undefined;
            const wanted = findWanted(head, knowledge);
            const work: RequestWork = {
                req,
                res,
                requestId,
                head,
                route,
                service,
                wanted: service.engine === undefined ? undefined : wanted,
                body,
                startedMs,
                endsAtMs,
                signal: ender.signal,
                relay,
                times: { sentMs: undefined, firstByteMs: undefined },
            };
            const end = await runner.run(work);
            finish(work, end, hasLeft);
        }
        finally {
            cancelEnd();
        }
    };
    const finish = (work: RequestWork, end: RequestEnd, hasLeft: boolean): void => {
        const tookMs = Math.round(clock.nowMs() - work.startedMs);
        metrics.record("request_duration", tookMs, { kind: work.route.kind, end: end.kind });
        if (hasLeft) {
            log.write("info", 407, { id: work.requestId, tookMs, end: end.kind, ...describeTimes(work) });
            return;
        }
        switch (end.kind) {
            case "relayed":
                log.write("info", 406, { id: work.requestId, status: 200, tookMs, ...describeTimes(work) });
                return;
            case "answer":
                log.write("info", 406, {
                    id: work.requestId,
                    status: end.result.head.status,
                    tookMs,
                    ...describeTimes(work),
                });
                sendAnswer(work.res, end.result, isStopping());
                return;
            case "gave_up":
                giveUp(work, end, tookMs);
                return;
        }
    };
    const giveUp = (work: RequestWork, end: Extract<RequestEnd, { kind: "gave_up" }>, heldMs: number): void => {
        if (work.relay?.hasStarted === true) {
            metrics.count("streams_cut_total", { reason: end.reason });
            log.write("warn", 401, {
                id: work.requestId,
                reason: end.reason,
                outcome: end.outcome,
                heldMs,
                isCut: true,
            });
            work.relay.cut();
            return;
        }
        const isTimeUp = end.reason === "ended";
        const status = end.outcome === "not_run"
            ? toErrorStatus("no_upstream")
            : isTimeUp
            ? SERVER_ERROR_STATUS.late
            : SERVER_ERROR_STATUS.bad;
        const leftMs = work.endsAtMs - clock.nowMs();
        const retryAfterMs = chooseRetryAfter({ readyInMs: end.readyInMs, leftMs, draw: random.next() });
        refuse(work.res, work.requestId, {
            status,
            reason: end.reason,
            outcome: end.outcome,
            heldMs,
            expectedWaitMs: Math.round(end.readyInMs),
            retryAfterMs: end.outcome === "not_run" ? retryAfterMs : undefined,
        });
    };
    return {
        get running() {
            return running;
        },
        handle(req, res) {
            running += 1;
            res.on("close", () => {
                running -= 1;
            });
            res.on("error", () => undefined);
            serve(req, res).catch((err: unknown) => {
                const failure = toServeError(err, INTERNAL);
                if (res.headersSent) {
                    metrics.count("streams_cut_total", { reason: failure.code });
                    log.write("error", 401, {
                        id: parseClientHead(req.rawHeaders).requestId ?? "none",
                        reason: failure.message,
                        step: failure.step,
                        outcome: failure.outcome,
                        isCut: true,
                    });
                    res.destroy();
                    return;
                }
                refuse(res, "unread", {
                    status: toErrorStatus(failure.code),
                    reason: failure.code,
                    outcome: "not_run",
                    heldMs: 0,
                    retryAfterMs: undefined,
                });
            });
        },
    };
}

/** Says what a request's time was spent on, for the log. */
function describeTimes(
    { route, startedMs, times }: RequestWork,
): Readonly<Record<string, string | number | undefined>> {
    const since = (atMs: number | undefined): number | undefined =>
        atMs === undefined ? undefined : Math.round(atMs - startedMs);
    return {
        route: route.name,
        goalMs: route.goalMs,
        sentAfterMs: since(times.sentMs),
        firstByteAfterMs: since(times.firstByteMs),
    };
}

const INTERNAL = { code: "internal", step: "serve client", peer: "caller", outcome: "unknown" } as const;

interface Refusal {
    readonly status: number;
    readonly reason: string;
    readonly outcome: "not_run" | "unknown" | "ran";
    readonly heldMs: number;
    /** Estimate that led to the refusal, in milliseconds. */
    readonly expectedWaitMs?: number;
    readonly retryAfterMs: number | undefined;
}

type RequestPlan =
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: ErrorCode;
        readonly retryAfterMs: number | undefined;
    }
    | ({ readonly kind: "planned"; readonly requestId: RequestId } & Pick<RequestWork, "route" | "service"> & {
        readonly config: ServingConfig;
    });

function planRequest(
    head: ClientHead,
    req: IncomingMessage,
    knowledge: Knowledge,
    { hash }: FrontContext,
): RequestPlan {
    const refused = (code: ErrorCode, retryAfterMs?: number): RequestPlan => ({
        kind: "refused",
        status: toErrorStatus(code),
        reason: code,
        retryAfterMs,
    });
    const { config } = knowledge;
    if (config === undefined) {
        return refused("not_ready", NO_CONFIG_RETRY_MS);
    }
    if (head.requestId === undefined) {
        return refused("bad_request");
    }
    const route = matchRoute(config.routes, head.hostName, req.url ?? "/");
    const target = route === undefined ? undefined : pickTarget(hash, route.targets, head.requestId);
    const service = target === undefined ? undefined : config.services.get(target);
    if (route === undefined || service === undefined) {
        return refused("not_found");
    }
    return { kind: "planned", requestId: head.requestId, config, route, service };
}

function findWanted(head: ClientHead, knowledge: Knowledge): RequestWork["wanted"] {
    const { adapter, model } = head;
    return adapter === undefined || model === undefined
        ? undefined
        : { model, adapter, version: knowledge.findRelease(model, adapter) };
}

function hasBody(req: IncomingMessage): boolean {
    return req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;
}

function sendAnswer(
    res: ServerResponse,
    { head, body }: Extract<RequestEnd, { kind: "answer" }>["result"],
    isClosing: boolean,
): void {
    // Without the engine's own word that it did not run a request, these statuses would promise too much.
    const isFalsePromise = promisesNotRun(head.status) && !head.isNotRun;
    if (isFalsePromise) {
        const status = SERVER_ERROR_STATUS.bad;
        writeRefusal(
            res,
            { status, reason: "upstream_failed", outcome: "unknown", heldMs: 0, retryAfterMs: undefined },
            isClosing,
        );
        return;
    }
    writeAnswerHead(res, head, isClosing);
    res.end(body);
}

function writeRefusal(res: ServerResponse, refusal: Refusal, isClosing: boolean): void {
    const text = JSON.stringify({ error: { code: refusal.reason, outcome: refusal.outcome } });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
    };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = (refusal.retryAfterMs / MS_PER_S).toFixed(3);
    }
    if (isClosing) {
        headers["connection"] = "close";
    }
    res.writeHead(refusal.status, headers);
    res.end(text);
}
