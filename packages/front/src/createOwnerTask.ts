import type { EngineEntry, EngineOrder } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import type { AdapterName, BaseModel, HostId } from "@fulmarcleat/ids";
import {
    applyEngineReport,
    applyOrderReply,
    createResidencyState,
    describeResidency,
    isNewEnough,
    planOrder,
    reduceWants,
    sumUses,
} from "@fulmarcleat/residency";
import type { HostUse, ResidencyState, Want } from "@fulmarcleat/residency";
import type { AdapterLoadReply, EngineWord } from "@fulmarcleat/wire";
import type { FrontContext } from "./frontContext.js";

/** What an engine's owner runs with. */
export interface OwnerTaskOptions {
    readonly entry: EngineEntry;
    readonly model: BaseModel;
    readonly slots: number;
    readonly fence: number;
    /** Whether orders may be given now. */
    readonly mayOrder: () => boolean;
    /** The engine has seen a higher fence. */
    readonly onFenced: () => void;
}

/** The part of an owner that orders what one engine holds. */
export interface OwnerTask {
    readonly fence: number;
    want(adapter: AdapterName, want: Want, isMissing: boolean): Promise<AdapterLoadReply>;
    /** Takes in a newly declared version of an adapter that the engine may hold. */
    refresh(adapter: AdapterName, version: number): void;
    use(host: HostId, use: HostUse, started: readonly AdapterName[]): EngineWord;
    stop(): void;
}

interface Waiter {
    readonly adapter: AdapterName;
    readonly version: number | undefined;
    readonly untilMs: number;
    readonly resolve: (reply: AdapterLoadReply) => void;
}

/** How often waits are checked while nothing else happens, in milliseconds. */
const TICK_MS = 60;
/** Pause after a report that could not be read, in milliseconds. */
const REPORT_PAUSE_MS = 250;
/** How long a new version is wanted on an engine that holds an older one, in milliseconds. */
const REFRESH_MS = 20_000;

/**
 * Creates the task that orders what one engine holds.
 *
 * @param context - Engine calls, clock and log
 * @param options - The engine and the fence
 * @returns the task
 *
 * @example
 * const owner = createOwnerTask(context, { entry, model, slots: 8, fence, mayOrder, onFenced });
 */
export function createOwnerTask(context: FrontContext, options: OwnerTaskOptions): OwnerTask {
    const { clock, control, log, metrics } = context;
    const target = { id: options.entry.id, address: options.entry.address };
    let state: ResidencyState = createResidencyState(options.model, options.slots);
    let waiters: Waiter[] = [];
    let isPumping = false;
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
            state = { ...state, reportFromMs: clock.nowMs() + REPORT_PAUSE_MS };
            log.write("warn", 307, { engine: target.id, step: toServeError(err, INTERNAL).step });
            return false;
        }
    };
    const give = async (order: EngineOrder): Promise<boolean> => {
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
        state = applyOrderReply(state, order, reply, clock.nowMs());
        if (reply.kind === "fenced") {
            options.onFenced();
        }
        return reply.kind === "accepted" || reply.kind === "holds_already";
    };
    const step = async (): Promise<boolean> => {
        const next = planOrder(state, clock.nowMs());
        switch (next.kind) {
            case "read_report":
                return readReport();
            case "order":
                return give(next.order);
            case "wait":
                return false;
        }
    };
    const pump = async (): Promise<void> => {
        if (isPumping) {
            return;
        }
        isPumping = true;
        try {
            do {
                state = reduceWants(state, { kind: "tick", atMs: clock.nowMs() });
                settleWaiters();
            }
            while (!isStopped && options.mayOrder() && await step());
        }
        finally {
            isPumping = false;
        }
    };
    const settleWaiters = (): void => {
        const atMs = clock.nowMs();
        const left: Waiter[] = [];
        for (const waiter of waiters) {
            const reply = findReply(state, waiter, atMs);
            if (reply === undefined) {
                left.push(waiter);
            }
            else {
                if (reply.kind === "refused") {
                    log.write("warn", 304, { engine: target.id, adapter: waiter.adapter, ...countPlaces(state, atMs) });
                }
                waiter.resolve(reply);
            }
        }
        waiters = left;
    };
    const tick = (): void => {
        if (!isStopped) {
            void pump();
            clock.setTimer(TICK_MS, tick);
        }
    };
    tick();
    return {
        fence: options.fence,
        want(adapter, want, isMissing) {
            if (!options.mayOrder() && state.residents.get(adapter) === undefined) {
                return Promise.resolve({ kind: "refused", reason: "not_allowed" });
            }
            state = reduceWants(state, { kind: "want", adapter, want });
            if (isMissing) {
                state = reduceWants(state, { kind: "missing", adapter, atMs: clock.nowMs() });
            }
            return new Promise(resolve => {
                waiters.push({ adapter, version: want.version, untilMs: want.untilMs, resolve });
                void pump();
            });
        },
        refresh(adapter, version) {
            if (state.residents.has(adapter)) {
                const sinceMs = clock.nowMs();
                const untilMs = sinceMs + REFRESH_MS;
                const want = { version, dueMs: untilMs, sinceMs, untilMs };
                state = reduceWants(state, { kind: "want", adapter, want });
                void pump();
            }
        },
        use(host, use, started) {
            state = reduceWants(state, { kind: "use", host, use, started });
            return describeResidency(state, clock.nowMs());
        },
        stop() {
            isStopped = true;
            waiters.forEach(waiter => waiter.resolve({ kind: "refused", reason: "not_owner" }));
            waiters = [];
        },
    };
}

/** Says what takes the engine's places, for the log. */
function countPlaces(state: ResidencyState, atMs: number): Readonly<Record<string, number>> {
    const places = { used: 0, idle: 0, loading: 0, leaving: 0 };
    const { byAdapter } = sumUses(state, atMs);
    for (const [adapter, { phase }] of state.residents) {
        if (phase.kind === "present") {
            places[byAdapter.has(adapter) ? "used" : "idle"] += 1;
        }
        else {
            places[phase.kind] += 1;
        }
    }
    return { ...places, wants: state.wants.size };
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
    return waiter.untilMs <= atMs ? { kind: "refused", reason: "no_room" } : undefined;
}
