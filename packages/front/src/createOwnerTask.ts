import type { EngineEntry, EngineOrder, OrderReply } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { repeat } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, HostId } from "@fulmarcleat/ids";
import {
    applyEngineReport,
    applyOrderReply,
    createResidencyState,
    describeResidency,
    isNewEnough,
    isStalled,
    planOrder,
    reduceResidency,
    sumUsage,
} from "@fulmarcleat/residency";
import type { HostUsage, LoadRequest, ResidencyState } from "@fulmarcleat/residency";
import type { AdapterLoadReply, ObservedPerformance, OwnerReport } from "@fulmarcleat/wire";
import type { FrontContext } from "./frontContext.js";
import type { LoadTimes } from "./performance/createLoadTimes.js";
import { createOwnerPerformance } from "./performance/createOwnerPerformance.js";

/** Settings of an engine's owner task. */
export interface OwnerTaskOptions {
    readonly entry: EngineEntry;
    readonly model: BaseModel;
    /** Number of the engine's adapter slots. */
    readonly slots: number;
    /** Fencing token that the owner sends with each order. */
    readonly fence: number;
    /** Whether this host may send orders now. */
    readonly mayOrder: () => boolean;
    /** How long adapter loads take. */
    readonly loadTimes: LoadTimes;
    /** Called when the engine rejects an order because it has received a higher fencing token. */
    readonly onFenced: () => void;
}

/** Loads and evicts adapters on one engine that this host owns. */
export interface OwnerTask {
    readonly fence: number;
    /** Whether the task has sent an order. */
    readonly hasOrdered: boolean;
    /** Requests an adapter; resolves when it is present or being loaded, or with a refusal after the wait. */
    requestLoad(adapter: AdapterName, loadRequest: LoadRequest, isMissing: boolean): Promise<AdapterLoadReply>;
    /** Requests a newly declared version of an adapter if the engine holds an older one. */
    refreshAdapter(adapter: AdapterName, version: number): void;
    /** Records a host's requests in flight and what it observed at the engine, and returns the owner report. */
    recordHostUsage(
        host: HostId,
        usage: HostUsage,
        started: readonly AdapterName[],
        seen: ObservedPerformance | undefined,
    ): OwnerReport;
    /** Stops sending orders and refuses the waiting load requests. */
    stop(): void;
    /**
     * Waits after a stop until the last order has been answered or has timed out. Returns whether no order of this task
     * can be carried out any more.
     */
    settle(): Promise<boolean>;
}

/** A load request that has not been answered yet. */
interface Waiter {
    readonly adapter: AdapterName;
    readonly version: number | undefined;
    /** Clock reading after which the request is refused, in milliseconds. */
    readonly untilMs: number;
    readonly resolve: (reply: AdapterLoadReply) => void;
}

/** Interval between two checks of waiting requests while nothing else happens, in milliseconds. */
const WAITER_CHECK_INTERVAL_MS = 60;
/** Delay before an engine's report is read again after a failure, in milliseconds. */
const REPORT_RETRY_DELAY_MS = 250;
/**
 * Replies after which an earlier order without a reply can't be carried out any more: the engine has counted another
 * order, or has started anew.
 */
const ENDS_FORMER_ORDERS: ReadonlySet<OrderReply["kind"]> = new Set(["accepted", "conflict", "misdirected"]);
/** How long a new version stays requested on an engine that holds an older one, in milliseconds. */
const REFRESH_REQUEST_MS = 20_000;

/**
 * Creates the task that decides which adapters one engine holds.
 *
 * @param context - Engine control, clock, metrics and log
 * @param options - The engine, its model and the fencing token
 * @returns the running task
 *
 * @example
 * const owner = createOwnerTask(context, { entry, model, slots: 8, fence, mayOrder, loadTimes, onFenced });
 */
export function createOwnerTask(context: FrontContext, options: OwnerTaskOptions): OwnerTask {
    const { clock, control, log, metrics } = context;
    const target = { id: options.entry.id, address: options.entry.address };
    let state: ResidencyState = createResidencyState(options.model, options.slots);
    const performance = createOwnerPerformance(clock);
    let waiters: Waiter[] = [];
    let isRunningSteps = false;
    let lastOrder = Promise.resolve(true);
    let hasOrdered = false;
    let hasUnansweredOrder = false;
    let isStopped = false;

    const readReport = async (): Promise<boolean> => {
        try {
            const report = await control.report(target);
            state = applyEngineReport(state, report, clock.nowMs());
            metrics.count("engine_reports_total", {});
            log.write("info", 309, {
                engine: target.id,
                seq: report.seq,
                model: state.modelPhase,
                adapters: state.residents.size,
            });
            return true;
        }
        catch (err) {
            state = { ...state, reportFromMs: clock.nowMs() + REPORT_RETRY_DELAY_MS };
            log.write("warn", 307, { engine: target.id, step: toServeError(err, INTERNAL).step });
            return false;
        }
    };
    const sendOrder = async (order: EngineOrder): Promise<boolean> => {
        hasOrdered = true;
        const terms = { holder: context.deployment.host, fence: options.fence, expectedSeq: state.seq ?? 0 };
        const reply = await control.order(target, order, terms);
        metrics.count("orders_total", { order: order.kind, reply: reply.kind });
        log.write(reply.kind === "accepted" || reply.kind === "holds_already" ? "info" : "warn", 308, {
            engine: target.id,
            order: order.kind,
            adapter: order.kind === "load_model" ? undefined : order.adapter,
            version: order.kind === "load_adapter" ? order.version : undefined,
            fence: terms.fence,
            seq: terms.expectedSeq,
            reply: reply.kind,
        });
        hasUnansweredOrder = reply.kind === "unknown" || hasUnansweredOrder && !ENDS_FORMER_ORDERS.has(reply.kind);
        state = applyOrderReply({ ...state, loadMs: options.loadTimes.readMs() }, order, reply, clock.nowMs());
        if (reply.kind === "fenced") {
            options.onFenced();
        }
        return reply.kind === "accepted" || reply.kind === "holds_already";
    };
    const runNextStep = async (): Promise<boolean> => {
        const next = planOrder(state, clock.nowMs());
        switch (next.kind) {
            case "read_report":
                return readReport();
            case "order":
                lastOrder = sendOrder(next.order);
                return lastOrder;
            case "wait":
                return false;
        }
    };
    const runSteps = async (): Promise<void> => {
        if (isRunningSteps) {
            return;
        }
        isRunningSteps = true;
        try {
            do {
                state = reduceResidency(state, { kind: "tick", atMs: clock.nowMs() });
                settleWaiters();
            }
            while (!isStopped && options.mayOrder() && await runNextStep());
        }
        finally {
            isRunningSteps = false;
        }
    };
    const settleWaiters = (): void => {
        const atMs = clock.nowMs();
        const remaining: Waiter[] = [];
        for (const waiter of waiters) {
            const reply = findReply(state, waiter, atMs);
            if (reply === undefined) {
                remaining.push(waiter);
            }
            else {
                if (reply.kind === "refused") {
                    log.write("warn", 304, {
                        engine: target.id,
                        adapter: waiter.adapter,
                        ...countAdapterSlots(state, atMs),
                    });
                }
                waiter.resolve(reply);
            }
        }
        waiters = remaining;
    };
    const cancelChecks = repeat(clock, WAITER_CHECK_INTERVAL_MS, () => void runSteps());
    return {
        fence: options.fence,
        get hasOrdered() {
            return hasOrdered;
        },
        requestLoad(adapter, loadRequest, isMissing) {
            if (!options.mayOrder() && state.residents.get(adapter) === undefined) {
                return Promise.resolve({ kind: "refused", reason: "not_allowed" });
            }
            state = reduceResidency(state, { kind: "want", adapter, want: loadRequest });
            if (isMissing) {
                state = reduceResidency(state, { kind: "missing", adapter, atMs: clock.nowMs() });
                options.loadTimes.learn(state.loadMs);
            }
            return new Promise(resolve => {
                waiters.push({ adapter, version: loadRequest.version, untilMs: loadRequest.untilMs, resolve });
                void runSteps();
            });
        },
        refreshAdapter(adapter, version) {
            if (state.residents.has(adapter)) {
                const sinceMs = clock.nowMs();
                const untilMs = sinceMs + REFRESH_REQUEST_MS;
                const loadRequest = { version, dueMs: untilMs, sinceMs, untilMs };
                state = reduceResidency(state, { kind: "want", adapter, want: loadRequest });
                void runSteps();
            }
        },
        recordHostUsage(host, usage, started, seen) {
            state = reduceResidency(state, { kind: "use", host, use: usage, started });
            if (seen !== undefined) {
                performance.add(seen);
            }
            const pace = performance.describe();
            return { ...describeResidency(state, clock.nowMs()), ...(pace === undefined ? {} : { pace }) };
        },
        stop() {
            isStopped = true;
            cancelChecks();
            waiters.forEach(waiter => waiter.resolve({ kind: "refused", reason: "not_owner" }));
            waiters = [];
        },
        async settle() {
            await lastOrder;
            return !hasUnansweredOrder;
        },
    };
}

/** Counts the engine's adapter slots by state and its pending load requests, for the log. */
function countAdapterSlots(state: ResidencyState, atMs: number): Readonly<Record<string, number>> {
    const counts = { used: 0, idle: 0, loading: 0, leaving: 0 };
    const { byAdapter } = sumUsage(state, atMs);
    for (const [adapter, { phase }] of state.residents) {
        if (phase.kind === "present") {
            counts[byAdapter.has(adapter) ? "used" : "idle"] += 1;
        }
        else {
            counts[phase.kind] += 1;
        }
    }
    return { ...counts, wants: state.loadRequests.size };
}

const INTERNAL = { code: "internal", step: "order engine", peer: "self", outcome: "unknown" } as const;

function findReply(state: ResidencyState, waiter: Waiter, atMs: number): AdapterLoadReply | undefined {
    const resident = state.residents.get(waiter.adapter);
    if (
        resident !== undefined && resident.phase.kind !== "leaving" && isNewEnough(resident.version, waiter.version)
    ) {
        const inMs = resident.phase.kind === "loading" ? Math.max(0, resident.phase.readyAtMs - atMs) : 0;
        return { kind: "ready", inMs };
    }
    // A request that waited for such an engine would lose the time in which another one could serve it.
    return waiter.untilMs <= atMs || isStalled(state) ? { kind: "refused", reason: "no_room" } : undefined;
}
