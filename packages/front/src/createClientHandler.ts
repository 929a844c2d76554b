import type { Service } from "@fulmarcleat/directory";
import { canFinishBeforeStop, chooseRetryAfter } from "@fulmarcleat/dispatch";
import { toErrorStatus, toServeError } from "@fulmarcleat/errors";
import { readBody } from "@fulmarcleat/http";
import { parseClientHead, promisesNotRun } from "@fulmarcleat/platform";
import type { ClientHead } from "@fulmarcleat/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AccountLimits } from "./accounts/createAccountLimits.js";
import { createAccountRecords } from "./accounts/createAccountRecords.js";
import { createRequestPlanner } from "./accounts/createRequestPlanner.js";
import { removeCredentials } from "./accounts/removeCredentials.js";
import { runWithinLimit } from "./accounts/runWithinLimit.js";
import type { OverLimit } from "./accounts/runWithinLimit.js";
import { NO_ATTEMPTS } from "./applyAttempt.js";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest, ServiceOption } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import type { LoopTurns } from "./createLoopTurns.js";
import type { RequestDigester } from "./createRequestDigester.js";
import type { ForwardMark } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import type { RequestPlan } from "./planRequest.js";
import { createAnswerRelay, writeAnswerHead } from "./relayAnswer.js";
import { writeRefusal } from "./replies/writeRefusal.js";
import type { Refusal, ReplyState } from "./replies/writeRefusal.js";
import type { RequestRunner } from "./runRequest.js";
import { STOPPING_RETRY_MS } from "./stoppingRetry.js";

/** Handles HTTP requests of clients. */
export interface ClientHandler {
    /** Handles a request; `mark` is what another host states that has handed it to this one. */
    handle(req: IncomingMessage, res: ServerResponse, mark?: ForwardMark): void;
    /** Number of requests in flight. */
    readonly running: number;
    /** Refuses, as not run, the requests that have not been sent to an engine; called at the end of a stop. */
    refuseWaiting(): void;
}

/** Clock readings of a stop, in milliseconds. */
export interface StopMoments {
    readonly beganMs: number;
    /** When the process exits, whatever is in flight. */
    readonly endsMs: number;
}

/** Time after its deadline at which a request is aborted, in milliseconds; engines may answer right at the deadline. */
const DEADLINE_GRACE_MS = 80;
/** Longest time to receive a request's body, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
/** Statuses below 500 that clients take as "come again". */
const RETRIED_STATUSES = new Set([408, 421, 429]);
/** Status of a refusal by the rate limit of the client's account. */
const OVER_LIMIT_STATUS = 429;
const SERVER_ERROR_STATUS = { badGateway: 502, gatewayTimeout: 504 } as const;

/**
 * Creates the handler of client requests.
 *
 * @param context - Clock, log and metrics
 * @param clusterView - Source of the configuration in effect and of adapter versions
 * @param runner - Sends requests to engines
 * @param readStop - Returns when the process exits; undefined while no stop has begun
 * @param digestRequest - Computes the digests of requests
 * @param turns - Tells whether the process is behind in reading what has arrived
 * @param accountLimits - Rate limits of the client accounts
 * @returns the handler and the number of requests in flight
 *
 * @example
 * createServer(createClientHandler(context, clusterView, runner, () => undefined, digestRequest, turns, limits).handle);
 */
export function createClientHandler(
    context: FrontContext,
    clusterView: ClusterView,
    runner: RequestRunner,
    readStop: () => StopMoments | undefined,
    digestRequest: RequestDigester,
    turns: Pick<LoopTurns, "isBehind" | "readArrived">,
    accountLimits: Pick<AccountLimits, "admit">,
): ClientHandler {
    const isStopping = (): boolean => readStop() !== undefined;
    const { clock, log, metrics, random } = context;
    let running = 0;
    /** Requests in flight, and how each is refused that has not been sent to an engine. */
    const waiting = new Map<ClientRequest, () => void>();
    const forwarded = new WeakSet<ServerResponse>();
    const plan = createRequestPlanner(context, clusterView);
    const accounts = createAccountRecords(metrics);
    const refuse = (res: ServerResponse, requestId: string, refusal: Refusal): void => {
        metrics.count("refusals_total", { reason: refusal.reason });
        accounts.countRefusal(res, refusal.reason);
        if (isDenial(refusal.status)) {
            metrics.count("denials_total", { status: String(refusal.status), reason: refusal.reason });
        }
        log.write(refusal.status === 404 ? "info" : "warn", refusal.outcome === "not_run" ? 400 : 401, {
            id: requestId,
            account: accounts.find(res),
            status: refusal.status,
            reason: refusal.reason,
            outcome: refusal.outcome,
            retryAfterMs: refusal.retryAfterMs,
            heldMs: refusal.heldMs,
            expectedWaitMs: refusal.expectedWaitMs,
            ...refusal.basis,
        });
        writeRefusal(res, refusal, { isClosing: isStopping(), isForwarded: forwarded.has(res) });
    };
    const refuseUnplanned = (
        req: IncomingMessage,
        res: ServerResponse,
        requestId: string,
        refusal: Extract<RequestPlan, { kind: "refused" }>,
        heldMs: number,
    ): void => {
        req.resume();
        const basis = { configVersion: clusterView.config?.version, viewAgeMs: clusterView.readAgeMs("config") };
        refuse(res, requestId, { ...refusal, outcome: "not_run", heldMs, basis });
    };
    const serve = async (req: IncomingMessage, res: ServerResponse, mark: ForwardMark | undefined): Promise<void> => {
        const startedMs = clock.nowMs();
        const head = parseClientHead(req.rawHeaders);
        const id = head.requestId ?? "none";
        const planned = plan(head, req.url ?? "/", mark, clusterView.config);
        if (planned.kind === "refused") {
            refuseUnplanned(req, res, id, planned, 0);
            return;
        }
        const { config, route, service, alternatives, requestId } = planned;
        accounts.set(res, planned.account?.name);
        const deadlineAtMs = startedMs + Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
        const endsBeforeStop = (): boolean => {
            const stop = readStop();
            const nowMs = clock.nowMs();
            return stop === undefined || canFinishBeforeStop(
                route.kind,
                deadlineAtMs + DEADLINE_GRACE_MS - nowMs,
                { sinceMs: startedMs - stop.beganMs, untilMs: stop.endsMs - nowMs },
            );
        };
        if (!endsBeforeStop()) {
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
        const abortController = new AbortController();
        const cancelDeadlineTimer = clock.setTimer(
            deadlineAtMs - startedMs + DEADLINE_GRACE_MS,
            () => abortController.abort(),
        );
        let hasDisconnected = false;
        const disconnect = (): void => {
            hasDisconnected = true;
            abortController.abort();
        };
        res.on("close", () => {
            if (!res.writableFinished) {
                disconnect();
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
            // The key may have been removed or moved to another account while the body arrived.
            const admitted =
                body.length === 0 || planned.account === undefined && clusterView.config?.accounts === undefined
                    ? planned
                    : plan(head, req.url ?? "/", mark, config);
            accounts.set(res, admitted.kind === "planned" ? admitted.account?.name : undefined);
            if (admitted.kind === "refused") {
                refuseUnplanned(req, res, id, admitted, Math.round(clock.nowMs() - startedMs));
                return;
            }
            const { account, priority } = admitted;
            if (turns.isBehind()) {
                // The client may have left while its request waited to be read.
                await turns.readArrived();
                if (req.socket.readableEnded) {
                    disconnect();
                }
            }
            const relay = route.kind === "streaming"
                ? createAnswerRelay(res, { sendsCompleteEvents: route.isResumable, isClosing: isStopping })
                : undefined;
            const requestedAdapter = findRequestedAdapter(head, clusterView);
            const toOption = (target: Service): ServiceOption => ({
                service: target,
                requestedAdapter: target.engine === undefined ? undefined : requestedAdapter,
            });
            const request: ClientRequest = {
                req,
                res,
                requestId,
                head: removeCredentials(head, account !== undefined || clusterView.config?.accounts !== undefined),
                route,
                ...toOption(service),
                alternatives: alternatives.map(toOption),
                account,
                priority,
                body,
                digest: digestRequest({
                    method: req.method ?? "GET",
                    hostName: head.hostName,
                    path: req.url ?? "/",
                    body,
                }),
                startedMs,
                deadlineAtMs,
                endsBeforeStop,
                signal: abortController.signal,
                mark,
                relay,
                times: { sentMs: undefined, firstByteMs: undefined },
            };
            const refused = new Promise<RequestEnd>(resolve =>
                void waiting.set(request, () => {
                    abortController.abort();
                    resolve(giveUp(NO_ATTEMPTS, "stopping", STOPPING_RETRY_MS));
                })
            );
            const end = await Promise.race([runWithinLimit(request, accountLimits, next => runner.run(next)), refused])
                .finally(() => waiting.delete(request));
            if (end.kind === "over_limit") {
                refuseOverLimit(request, end);
                return;
            }
            finishRequest(request, end, hasDisconnected);
        }
        finally {
            cancelDeadlineTimer();
        }
    };
    const refuseOverLimit = (request: ClientRequest, { permit }: OverLimit): void => {
        const nowMs = clock.nowMs();
        const leftMs = request.deadlineAtMs - nowMs;
        refuse(request.res, request.requestId, {
            status: OVER_LIMIT_STATUS,
            reason: "account_limit",
            outcome: "not_run",
            heldMs: Math.round(nowMs - request.startedMs),
            expectedWaitMs: Math.round(permit.readyInMs),
            // The times are staggered already, and no client fits in sooner.
            retryAfterMs: chooseRetryAfter({ readyInMs: permit.readyInMs, leftMs, draw: 0, isCertain: true }),
            basis: { ...permit.basis },
        });
    };
    const finishRequest = (request: ClientRequest, end: RequestEnd, hasDisconnected: boolean): void => {
        const tookMs = Math.round(clock.nowMs() - request.startedMs);
        metrics.record("request_duration", tookMs, { kind: request.route.kind, end: end.kind });
        if (hasDisconnected) {
            log.write("info", 407, { id: request.requestId, tookMs, end: end.kind, ...describeTimes(request) });
            return;
        }
        switch (end.kind) {
            case "relayed": {
                const { status, framing } = end.result;
                log.write("info", 406, {
                    id: request.requestId,
                    account: request.account?.name,
                    status,
                    tookMs,
                    framing,
                    ...describeTimes(request),
                });
                return;
            }
            case "answer":
                log.write("info", 406, {
                    id: request.requestId,
                    account: request.account?.name,
                    status: end.result.head.status,
                    tookMs,
                    framing: end.result.head.framing,
                    ...describeTimes(request),
                });
                sendAnswer(request.res, end.result, {
                    isClosing: isStopping(),
                    isForwarded: request.mark !== undefined,
                });
                return;
            case "gave_up":
                refuseOrAbort(request, end, tookMs);
                return;
        }
    };
    const refuseOrAbort = (
        request: ClientRequest,
        end: Extract<RequestEnd, { kind: "gave_up" }>,
        heldMs: number,
    ): void => {
        if (request.relay?.hasStarted === true) {
            metrics.count("streams_cut_total", { reason: end.reason });
            log.write("warn", 401, {
                id: request.requestId,
                account: request.account?.name,
                reason: end.reason,
                outcome: end.outcome,
                heldMs,
                isCut: true,
            });
            request.relay.abort();
            return;
        }
        const hasDeadlinePassed = end.reason === "ended";
        const status = end.outcome === "not_run"
            ? toErrorStatus("no_upstream")
            : hasDeadlinePassed
            ? SERVER_ERROR_STATUS.gatewayTimeout
            : SERVER_ERROR_STATUS.badGateway;
        const leftMs = request.deadlineAtMs - clock.nowMs();
        const retryAfterMs = chooseRetryAfter({
            readyInMs: end.readyInMs,
            leftMs,
            draw: random.next(),
            isCertain: end.reason === "paused",
        });
        refuse(request.res, request.requestId, {
            status,
            reason: end.reason,
            outcome: end.outcome,
            sends: end.sends,
            heldMs,
            expectedWaitMs: Math.round(end.readyInMs),
            retryAfterMs: end.outcome === "not_run" ? retryAfterMs : undefined,
        });
    };
    return {
        get running() {
            return running;
        },
        refuseWaiting() {
            [...waiting].filter(([request]) => request.times.sentMs === undefined).forEach(([, refuseNow]) =>
                refuseNow()
            );
        },
        handle(req, res, mark) {
            running += 1;
            if (mark !== undefined) {
                forwarded.add(res);
            }
            res.on("close", () => {
                running -= 1;
            });
            res.on("error", () => undefined);
            serve(req, res, mark).catch((err: unknown) => {
                const failure = toServeError(err, INTERNAL);
                if (res.headersSent) {
                    metrics.count("streams_cut_total", { reason: failure.code });
                    log.write("error", 401, {
                        id: parseClientHead(req.rawHeaders).requestId ?? "none",
                        account: accounts.find(res),
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
                    outcome: failure.outcome,
                    heldMs: 0,
                    retryAfterMs: undefined,
                });
            });
        },
    };
}

/** Whether a client gives up on an answer of this status, as it calls the request itself wrong. */
function isDenial(status: number): boolean {
    return status >= 300 && status < 500 && !RETRIED_STATUSES.has(status);
}

/** Formats a request's route and timing as log fields. */
function describeTimes(
    { route, startedMs, times }: ClientRequest,
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

function findRequestedAdapter(head: ClientHead, clusterView: ClusterView): ClientRequest["requestedAdapter"] {
    const { adapter, model } = head;
    return adapter === undefined || model === undefined
        ? undefined
        : { model, adapter, version: clusterView.findRelease(model, adapter) };
}

function hasBody(req: IncomingMessage): boolean {
    return req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;
}

function sendAnswer(
    res: ServerResponse,
    { head, body }: Extract<RequestEnd, { kind: "answer" }>["result"],
    reply: ReplyState,
): void {
    // These statuses guarantee that the request was not run, so they are forwarded only if the engine confirmed it.
    const isUnconfirmed = promisesNotRun(head.status) && !head.isNotRun;
    if (isUnconfirmed) {
        const status = SERVER_ERROR_STATUS.badGateway;
        writeRefusal(
            res,
            { status, reason: "upstream_failed", outcome: "unknown", heldMs: 0, retryAfterMs: undefined },
            reply,
        );
        return;
    }
    writeAnswerHead(res, head, reply.isClosing);
    res.end(body);
}
