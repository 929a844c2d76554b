import { computeRequestCost, createAloneAllowance, createReturnSlots } from "@fulmarcleat/accounts";
import type { AloneAllowance, ReturnSlots, WindowBound } from "@fulmarcleat/accounts";
import type { ClientAccount, RateLimit, ServingConfig } from "@fulmarcleat/directory";
import type { AccountName, CancelTimer, HostId } from "@fulmarcleat/ids";
import { repeat } from "@fulmarcleat/ids";
import type { TokenCount } from "@fulmarcleat/platform";
import type {
    AccountGrantReply,
    AccountGrantRequest,
    AccountReturn,
    Acknowledgement,
    PeerClient,
} from "@fulmarcleat/wire";
import type { ClusterView } from "../createClusterView.js";
import type { FrontContext } from "../frontContext.js";
import type { AccountPermit, LimitBasis } from "./accountPermit.js";
import { createAccountGranter } from "./createAccountGranter.js";
import { createGranterRanks } from "./createGranterRanks.js";
import { createGrantExchange, MAX_DECISION_MS } from "./createGrantExchange.js";

/** Keeps what each client account uses over all hosts within its rate limit. */
export interface AccountLimits {
    /** Decides whether a request may be sent. */
    admit(account: ClientAccount, tokens: TokenCount | undefined): Promise<AccountPermit>;
    /** Handles another host's request for grants. */
    handleGrant(request: AccountGrantRequest, from: HostId): Promise<AccountGrantReply>;
    /** Handles the return of a cost. */
    handleReturn(returned: AccountReturn): Acknowledgement;
    stop(): void;
}

/** A request that waits for a decision. */
interface Waiting {
    readonly cost: number;
    isSettled: boolean;
    readonly settle: (permit: AccountPermit) => void;
    readonly cancelTimer: CancelTimer;
}

/** What this host knows of one account. */
interface AccountRecord {
    readonly account: AccountName;
    limit: RateLimit;
    readonly waiting: Waiting[];
    isAsking: boolean;
    /** Clock reading until which requests are refused without asking, in milliseconds. */
    holdUntilMs: number;
    used: number | undefined;
    decidedBy: "granter" | "substitute";
    /** Cost admitted alone that no granter knows of yet, and the clock reading of its last part, in milliseconds. */
    owed: number;
    owedMs: number;
    readonly slots: ReturnSlots;
    readonly alone: AloneAllowance;
}

/** Expected time until a granter can be reached, in milliseconds. */
const NO_GRANTER_MS = 400;
/** Most requests of one batch. */
const MAX_BATCH = 256;
/** Interval of the check for pauses and changed hosts, in milliseconds. */
const CHECK_MS = 50;
/** Delay of that check from which the process counts as paused, in milliseconds. */
const MIN_PAUSE_MS = 100;
/** Part of the slack that hosts which decide alone may each use beyond their shares in a window. */
const EXTRA_SLACK_PART = 0.25;
/** The same for limits that count requests, in requests. */
const EXTRA_REQUESTS = 4;

/**
 * Creates the rate limits of client accounts. For each account a granter, which all hosts rank alike, grants the
 * requests of all hosts; the host ranked next takes its place while it does not reply.
 *
 * @param context - Clock, hash, random numbers, metrics and bounds
 * @param clusterView - Live hosts and the configuration
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the limits; nothing is sent and no timer is set before a request of an account with a limit
 *
 * @example
 * const accountLimits = createAccountLimits(context, clusterView, () => peers);
 */
export function createAccountLimits(
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "metrics" | "random" | "readBounds">,
    clusterView: Pick<ClusterView, "members" | "config">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): AccountLimits {
    const { clock, deployment, metrics, random, readBounds } = context;
    const self = deployment.host;
    const ranks = createGranterRanks(context, clusterView);
    const readBound = (): WindowBound => {
        const { limitWindowMs, limitExcessRatio, limitSlack } = readBounds();
        return { windowMs: limitWindowMs, excessRatio: limitExcessRatio, slack: limitSlack };
    };
    const granter = createAccountGranter(context, readBound);
    const records = new Map<AccountName, AccountRecord>();
    let lastBatch = 0;
    let checkedMs = clock.nowMs();
    let appliedConfig: ServingConfig | undefined;
    let cancelChecks: CancelTimer | undefined;

    const readLimit = (account: AccountName): RateLimit | undefined =>
        clusterView.config?.accounts?.get(account)?.limit;
    const exchange = createGrantExchange(context, clusterView, readPeers, ranks, granter, readLimit);
    const isFirst = (account: AccountName): boolean => ranks.list(account)[0] === self;
    /** Finds out whether this process was paused, before anything is decided with the time that has passed. */
    const check = (): void => {
        const nowMs = clock.nowMs();
        const lateMs = nowMs - checkedMs - CHECK_MS;
        checkedMs = nowMs;
        if (lateMs >= MIN_PAUSE_MS) {
            granter.skipPause(lateMs);
        }
        const hasChanged = ranks.refresh();
        if (hasChanged || clusterView.config !== appliedConfig) {
            appliedConfig = clusterView.config;
            granter.update(readLimit, isFirst);
            [...records.keys()].filter(account => readLimit(account) === undefined)
                .forEach(account => records.delete(account));
        }
    };
    const startChecks = (): void => {
        if (cancelChecks === undefined) {
            checkedMs = clock.nowMs();
            cancelChecks = repeat(clock, CHECK_MS, check);
        }
        else if (clock.nowMs() - checkedMs >= CHECK_MS + MIN_PAUSE_MS) {
            check();
        }
    };
    const countUnits = (
        account: AccountName,
        result: "granted" | "refused" | "returned" | "alone",
        cost: number,
    ): void => metrics.count("account_units_total", { account, result }, cost);
    const describe = (record: AccountRecord, cost: number, decidedBy: LimitBasis["decidedBy"]): LimitBasis => ({
        account: record.account,
        cost,
        used: record.used,
        limit: record.limit.perSecond,
        burst: record.limit.burst,
        decidedBy,
    });
    const refuse = (
        record: AccountRecord,
        cost: number,
        readyInMs: number,
        decidedBy: LimitBasis["decidedBy"],
    ): AccountPermit => {
        countUnits(record.account, "refused", cost);
        const waitMs = record.slots.book(cost, readyInMs, record.limit.perSecond, clock.nowMs());
        return { kind: "refused", readyInMs: waitMs, basis: describe(record, cost, decidedBy) };
    };
    const grant = (record: AccountRecord, cost: number, giveBack: () => void): AccountPermit => {
        countUnits(record.account, "granted", cost);
        return {
            kind: "granted",
            giveBack: () => {
                countUnits(record.account, "returned", cost);
                giveBack();
            },
        };
    };
    const decideAlone = (record: AccountRecord, cost: number): AccountPermit => {
        const { limit, alone } = record;
        const { windowMs, slack } = readBound();
        const extra = limit.unit === "tokens" ? slack * EXTRA_SLACK_PART : EXTRA_REQUESTS;
        const terms = {
            cost,
            limit,
            hosts: ranks.hosts === 0 ? Infinity : ranks.hosts,
            extra,
            windowMs,
            draw: random.next(),
            atMs: clock.nowMs(),
        };
        if (!alone.admit(terms)) {
            return refuse(record, cost, NO_GRANTER_MS, "alone");
        }
        countUnits(record.account, "alone", cost);
        record.owed += cost;
        record.owedMs = clock.nowMs();
        return grant(record, cost, () => {
            alone.giveBack(cost);
            record.owed = Math.max(0, record.owed - cost);
        });
    };
    const settle = (waiting: Waiting, permit: () => AccountPermit): void => {
        if (!waiting.isSettled) {
            waiting.isSettled = true;
            waiting.cancelTimer();
            waiting.settle(permit());
        }
    };
    const readHoldMs = (record: AccountRecord): number => Math.max(0, record.holdUntilMs - clock.nowMs());
    const refuseHeld = (record: AccountRecord, cost: number): AccountPermit => {
        record.alone.recordHeld(cost, clock.nowMs());
        return refuse(record, cost, readHoldMs(record), record.decidedBy);
    };
    const applyReply = (
        record: AccountRecord,
        batch: readonly Waiting[],
        reply: AccountGrantReply | undefined,
        sentMs: number,
    ): void => {
        metrics.count("account_grants_total", { reply: reply?.via ?? "none" });
        if (reply === undefined) {
            batch.forEach(waiting => settle(waiting, () => decideAlone(record, waiting.cost)));
            return;
        }
        const nowMs = clock.nowMs();
        record.used = reply.used;
        record.decidedBy = reply.via === "substitute" ? "substitute" : "granter";
        if (reply.granted < batch.length) {
            record.holdUntilMs = nowMs + reply.readyInMs;
        }
        batch.forEach((waiting, index) => {
            const { cost } = waiting;
            const isGranted = index < reply.granted;
            record.alone.recordAnswer(cost, isGranted ? cost : 0, nowMs);
            if (!isGranted) {
                settle(waiting, () => refuse(record, cost, reply.readyInMs, record.decidedBy));
                return;
            }
            const giveBack = (): void => exchange.sendReturn(record.account, cost, sentMs, reply);
            if (waiting.isSettled) {
                giveBack();
            }
            settle(waiting, () => grant(record, cost, giveBack));
        });
    };
    /** Returns what was admitted alone and is still in the window. */
    const readOwed = (record: AccountRecord): number => {
        if (clock.nowMs() - record.owedMs >= readBounds().limitWindowMs) {
            record.owed = 0;
        }
        return record.owed;
    };
    /** Asks for the requests that wait, one batch at a time. */
    const pump = async (record: AccountRecord): Promise<void> => {
        if (record.isAsking) {
            return;
        }
        record.isAsking = true;
        try {
            while (record.waiting.length > 0) {
                const batch = record.waiting.splice(0, MAX_BATCH).filter(({ isSettled }) => !isSettled);
                if (readHoldMs(record) > 0) {
                    batch.forEach(waiting => settle(waiting, () => refuseHeld(record, waiting.cost)));
                }
                else if (batch.length > 0) {
                    lastBatch += 1;
                    const sentMs = clock.nowMs();
                    const costs = batch.map(({ cost }) => cost);
                    const owed = readOwed(record);
                    const reply = await exchange.ask(record.limit, {
                        account: record.account,
                        costs,
                        batch: lastBatch,
                        role: "granter",
                        ...(owed === 0 ? {} : { owed }),
                    });
                    record.owed = Math.max(0, record.owed - (reply === undefined ? 0 : owed));
                    applyReply(record, batch, reply, sentMs);
                }
            }
        }
        finally {
            record.isAsking = false;
        }
    };
    const getRecord = (account: AccountName, limit: RateLimit): AccountRecord => {
        const existing = records.get(account);
        if (existing !== undefined) {
            if (existing.limit.perSecond !== limit.perSecond) {
                existing.holdUntilMs = -Infinity;
            }
            existing.limit = limit;
            return existing;
        }
        const record: AccountRecord = {
            account,
            limit,
            waiting: [],
            isAsking: false,
            holdUntilMs: -Infinity,
            used: undefined,
            decidedBy: "granter",
            owed: 0,
            owedMs: -Infinity,
            slots: createReturnSlots(),
            alone: createAloneAllowance(),
        };
        records.set(account, record);
        return record;
    };
    return {
        async admit({ name, limit }, tokens) {
            if (limit === undefined) {
                return { kind: "unlimited" };
            }
            startChecks();
            const record = getRecord(name, limit);
            const cost = computeRequestCost(limit, tokens);
            if (readHoldMs(record) > 0) {
                return refuseHeld(record, cost);
            }
            return new Promise(resolve => {
                const waiting: Waiting = {
                    cost,
                    isSettled: false,
                    settle: resolve,
                    // A batch in flight must not add its own time-outs to those of the next one.
                    cancelTimer: clock.setTimer(
                        MAX_DECISION_MS,
                        () => settle(waiting, () => decideAlone(record, cost)),
                    ),
                };
                record.waiting.push(waiting);
                void pump(record);
            });
        },
        handleGrant(request, from) {
            startChecks();
            return exchange.handle(request, from);
        },
        handleReturn(returned) {
            granter.giveBack(returned);
            return { done: true };
        },
        stop: () => cancelChecks?.(),
    };
}
