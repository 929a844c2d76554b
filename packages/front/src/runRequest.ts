import { MISDIRECTED } from "@fulmarcleat/directory";
import type { EngineRequest, KnownEngine, Service } from "@fulmarcleat/directory";
import { createRetryWindow, isHopeless } from "@fulmarcleat/dispatch";
import type { PatienceTerms, RetryWindow } from "@fulmarcleat/dispatch";
import { waitMs } from "@fulmarcleat/ids";
import type { EngineId, ServiceName } from "@fulmarcleat/ids";
import { applyAttempt, NOTHING_TRIED } from "./applyAttempt.js";
import type { GatheredAnswer, RequestEnd, RequestProgress } from "./applyAttempt.js";
import type { EngineBoard } from "./createEngineBoard.js";
import { createEngineChooser } from "./createEngineChooser.js";
import type { Knowledge } from "./createKnowledge.js";
import type { FrontContext } from "./frontContext.js";
import { giveUp } from "./giveUp.js";
import type { RequestWork } from "./requestWork.js";
import { runExchange } from "./runExchange.js";
import type { ExchangeResult } from "./runExchange.js";
import type { AdapterBoard } from "./startAdapterBoard.js";

/** What came of choosing an engine. */
type Prepared =
    | { readonly kind: "chosen"; readonly known: KnownEngine }
    | { readonly kind: "over"; readonly end: RequestEnd }
    /** Another engine may do, or the same one later. */
    | { readonly kind: "again" };

/** What became of asking for an adapter. */
type AdapterBrought = "ready" | "no_room" | "no_owner";

/** Runs requests. */
export interface RequestRunner {
    run(work: RequestWork): Promise<RequestEnd>;
}

/** Time without a byte after which a stream that may go on elsewhere does, in milliseconds. */
const RESUME_SILENT_MS = 1100;
/** Most sends of one request, refused ones included. */
const SEND_LIMIT = 8;
/** Longest wait for an adapter at one engine, in milliseconds. */
const ADAPTER_WAIT_MS = 350;
/** Pause before engines whose owners gave no answer are asked again, in milliseconds. */
const NO_OWNER_PAUSE_MS = 80;
/** Time that a request must have left to be worth sending, in milliseconds. */
const LEAST_LEFT_MS = 40;
/** Least urgent rank that engines know. */
const HIGHEST_URGENCY = 9;
/** Lowest status of an engine's own failure. */
const FIRST_SERVER_ERROR = 500;
/** When a client whose request found no engine should try again, in milliseconds. */
const NO_ENGINE_RETRY_MS = 400;
/** When a client whose request engines refused should try again, in milliseconds. */
const REFUSED_RETRY_MS = 120;

/**
 * Creates what takes requests to engines.
 *
 * @param context - Transport, clock and log
 * @param knowledge - Configuration, engines and hosts
 * @param board - What this host sees of engines
 * @param adapters - What is known of adapters on engines
 * @returns the runner
 *
 * @example
 * const end = await createRequestRunner(context, knowledge, board, adapters).run(work);
 */
export function createRequestRunner(
    context: FrontContext,
    knowledge: Knowledge,
    board: EngineBoard,
    adapters: AdapterBoard,
): RequestRunner {
    const { clock, log, metrics } = context;
    const chooser = createEngineChooser(context, knowledge, board, adapters);
    const budgets = new Map<ServiceName, RetryWindow>();
    const openBudget = ({ name }: Service): RetryWindow => {
        const present = budgets.get(name);
        if (present !== undefined) {
            return present;
        }
        const { retryRatio, retryReserve, retryWindowMs } = context.readBounds();
        const budget = createRetryWindow({
            ratio: retryRatio,
            reserve: retryReserve,
            windowMs: retryWindowMs,
            countHosts: () => Math.max(LEAST_HOSTS, knowledge.members.size),
        });
        budgets.set(name, budget);
        return budget;
    };
    const bringAdapter = async (work: RequestWork, known: KnownEngine, isMissing: boolean): Promise<AdapterBrought> => {
        const { wanted } = work;
        if (wanted === undefined) {
            return "ready";
        }
        const presence = adapters.find(known.entry, wanted);
        if (presence.kind === "present" && !isMissing) {
            return "ready";
        }
        if (presence.kind === "coming" && !isMissing) {
            await waitMs(clock, presence.readyInMs);
            return "ready";
        }
        const nowMs = clock.nowMs();
        const wait = {
            waitMs: Math.min(work.endsAtMs - nowMs - LEAST_LEFT_MS, ADAPTER_WAIT_MS),
            dueInMs: work.startedMs + work.route.goalMs - nowMs,
        };
        const reply = await adapters.request(known.entry, wanted, wait, isMissing);
        metrics.count("adapter_waits_total", { reply: reply.kind });
        if (reply.kind === "refused") {
            log.write("warn", 304, { id: work.requestId, engine: known.entry.id, reason: reply.reason });
            return reply.reason === "no_room" ? "no_room" : "no_owner";
        }
        if (reply.inMs > 0) {
            await waitMs(clock, reply.inMs);
        }
        return "ready";
    };
    const send = async (work: RequestWork, { entry }: KnownEngine): Promise<ExchangeResult> => {
        const sentMs = clock.nowMs();
        const { id } = entry;
        const adapter = work.wanted?.adapter;
        const isModel = work.service.engine !== undefined;
        let firstByteMs: number | undefined;
        work.times.sentMs = sentMs;
        const req: EngineRequest = {
            target: { id, address: entry.address },
            requestId: work.requestId,
            method: work.req.method ?? "GET",
            path: work.req.url ?? "/",
            headers: work.head.forwarded,
            body: work.body,
            deadlineMs: work.endsAtMs - sentMs,
            urgency: isModel ? Math.min(HIGHEST_URGENCY, Math.max(0, work.route.priority)) : undefined,
            version: work.wanted?.version,
            lastEventId: work.relay?.lastEventId ?? work.head.lastEventId,
        };
        log.write("info", 405, { id: work.requestId, engine: id, adapter, version: work.wanted?.version });
        const promptTokens = isModel ? work.head.tokens?.prompt ?? 0 : 0;
        board.queue(id, promptTokens);
        board.start(id);
        adapters.start(id, adapter);
        const result = await runExchange(req, {
            transport: context.transport,
            clock,
            relay: work.relay,
            signal: work.signal,
            silenceMs: work.route.isResumable ? RESUME_SILENT_MS : undefined,
            onBytes() {
                board.touch(id);
                if (firstByteMs === undefined) {
                    firstByteMs = clock.nowMs() - sentMs;
                    work.times.firstByteMs ??= sentMs + firstByteMs;
                    board.queue(id, -promptTokens);
                }
            },
            onHead(head) {
                if (head.load !== undefined) {
                    board.noteLoad(id, head.load);
                }
            },
        });
        if (firstByteMs === undefined) {
            board.queue(id, -promptTokens);
        }
        board.finish(id);
        adapters.finish(id, adapter);
        noteResult(id, result, firstByteMs ?? clock.nowMs() - sentMs);
        return result;
    };
    const noteResult = (id: EngineId, result: ExchangeResult, firstByteMs: number): void => {
        const atMs = clock.nowMs();
        switch (result.kind) {
            case "relayed":
                board.noteHealth(id, { kind: "answered", firstByteMs, atMs });
                return;
            case "answer":
                board.noteHealth(
                    id,
                    result.head.status >= FIRST_SERVER_ERROR
                        ? { kind: "failed", atMs }
                        : { kind: "answered", firstByteMs, atMs },
                );
                return;
            case "broken":
                board.noteHealth(id, { kind: "failed", atMs });
                return;
            case "unsent":
                board.noteHealth(id, { kind: "unreachable", atMs });
                return;
            case "not_run":
                if (result.status !== MISDIRECTED) {
                    board.noteHealth(id, { kind: "shed", atMs });
                }
                return;
            case "cancelled":
                return;
        }
    };
    /** Chooses the next engine and has the adapter brought there; says why where it comes to nothing. */
    const prepare = async (work: RequestWork, progress: RequestProgress, unowned: Set<EngineId>): Promise<Prepared> => {
        const isFull = progress.tried.size >= work.route.maxEngines;
        const allowed = chooser.list(work.service).filter(({ entry: { id } }) =>
            !progress.passedOver.has(id) && !unowned.has(id) && (!isFull || progress.tried.has(id))
        );
        const chosen = await chooser.choose(work, allowed);
        if (chosen === undefined && unowned.size > 0) {
            unowned.clear();
            await waitMs(clock, NO_OWNER_PAUSE_MS);
            return { kind: "again" };
        }
        if (chosen === undefined) {
            const reason = progress.passedOver.size > 0 ? "no_room" : "no_engine";
            return { kind: "over", end: giveUp(progress, reason, NO_ENGINE_RETRY_MS) };
        }
        const { known, expectedMs } = chosen;
        if (mayRefuse(work) && isHopeless(describePatience(work, expectedMs, clock.nowMs()))) {
            return { kind: "over", end: giveUp(progress, "overloaded", expectedMs - work.route.goalMs) };
        }
        switch (await bringAdapter(work, known, progress.isMissing)) {
            case "ready":
                return { kind: "chosen", known };
            case "no_room":
                return { kind: "again" };
            case "no_owner":
                unowned.add(known.entry.id);
                return { kind: "again" };
        }
    };
    const logRetry = (work: RequestWork, known: KnownEngine, result: ExchangeResult, sends: number): void => {
        const details = { id: work.requestId, engine: known.entry.id, sends };
        switch (result.kind) {
            case "not_run":
                log.write("info", 402, { ...details, status: result.status });
                return;
            case "unsent":
            case "broken":
                log.write("info", 402, { ...details, reason: result.reason });
                return;
            case "answer":
            case "relayed":
            case "cancelled":
                return;
        }
    };
    const run = async (work: RequestWork): Promise<RequestEnd> => {
        const budget = openBudget(work.service);
        const unowned = new Set<EngineId>();
        let progress = NOTHING_TRIED;
        budget.addRequest(clock.nowMs());
        while (progress.sends < SEND_LIMIT) {
            if (work.signal.aborted || work.endsAtMs - clock.nowMs() < LEAST_LEFT_MS) {
                return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
            }
            const prepared = await prepare(work, progress, unowned);
            if (prepared.kind === "over") {
                return prepared.end;
            }
            if (prepared.kind === "again") {
                continue;
            }
            if (work.signal.aborted) {
                return giveUp(progress, "ended", NO_ENGINE_RETRY_MS);
            }
            if (progress.sends > 0 && !budget.trySpend(clock.nowMs())) {
                metrics.count("retries_refused_total", { service: work.service.name });
                return giveUp(progress, "no_retry_left", REFUSED_RETRY_MS);
            }
            const { known } = prepared;
            const result = await send(work, known);
            metrics.count("exchanges_total", { result: result.kind });
            logRetry(work, known, result, progress.sends + 1);
            if (result.kind === "not_run" && result.isReplaced) {
                knowledge.noteReplaced(known.entry);
            }
            if (result.kind === "broken") {
                work.relay?.dropPartial();
            }
            const next = applyAttempt(progress, {
                engine: known.entry.id,
                result,
                mayRepeat: mayRepeat(work),
                mayReplaceFailure: result.kind === "answer"
                    && mayReplaceFailure(work, result, progress.tried, known, chooser.list(work.service)),
            });
            if (next.kind === "over") {
                return next.end;
            }
            metrics.count("retries_total", { reason: result.kind });
            progress = next.progress;
            if (next.pauseMs > 0) {
                await waitMs(clock, next.pauseMs);
            }
        }
        return giveUp(progress, "refused", REFUSED_RETRY_MS);
    };
    return { run };
}

/** Hosts that the retry budget is split over until more are known. */
const LEAST_HOSTS = 6;

function mayRepeat(work: RequestWork): boolean {
    switch (work.route.kind) {
        case "safe":
            return work.relay?.hasStarted !== true;
        case "unsafe":
            return false;
        case "streaming":
            return work.route.isResumable;
    }
}

/** An engine's own failure may be tried at another engine where the request is safe. */
function mayReplaceFailure(
    work: RequestWork,
    { head }: GatheredAnswer,
    tried: ReadonlySet<EngineId>,
    known: KnownEngine,
    engines: readonly KnownEngine[],
): boolean {
    const used = new Set(tried).add(known.entry.id);
    return work.route.kind === "safe" && head.status >= FIRST_SERVER_ERROR && used.size < work.route.maxEngines
        && engines.some(other => !used.has(other.entry.id));
}

/** A stream that has begun goes on where it can, however long that takes. */
function mayRefuse(work: RequestWork): boolean {
    return work.service.engine !== undefined && work.relay?.hasStarted !== true;
}

function describePatience(work: RequestWork, expectedMs: number, nowMs: number): PatienceTerms {
    return {
        expectedMs,
        waitedMs: nowMs - work.startedMs,
        goalMs: work.route.goalMs,
        priority: work.route.priority,
        leftMs: work.endsAtMs - nowMs,
    };
}
