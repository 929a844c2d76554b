import type { ClientAccount, RateLimit } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { AccountName, Clock, HostId, ManualClock } from "@fulmarcleat/ids";
import type { ExchangeName } from "@fulmarcleat/wire";
import type { AccountPermit } from "./accountPermit.js";
import { createAccountLimits } from "./createAccountLimits.js";
import type { AccountLimits } from "./createAccountLimits.js";

/** A request that was granted, or one that was refused. */
export interface Decision {
    readonly atMs: number;
    readonly askedMs: number;
    readonly account: AccountName;
    readonly cost: number;
    readonly permit: AccountPermit;
}

/** Hosts that share the limits of accounts over a simulated network. */
export interface AccountFleet {
    readonly clock: ManualClock;
    readonly hosts: readonly HostId[];
    readonly decisions: readonly Decision[];
    /** Messages and replies that were sent. */
    readonly messages: number;
    /** Ranks the hosts that are listed, as the hosts themselves do. */
    rank(account: AccountName): readonly HostId[];
    setAccounts(accounts: readonly { readonly name: AccountName; readonly limit: RateLimit }[]): void;
    request(host: HostId, account: AccountName, cost: number): void;
    /** Stops a host; it stays listed until `unlist`. */
    kill(host: HostId): void;
    /** Starts a host anew, without any memory. */
    restart(host: HostId): void;
    list(host: HostId): void;
    unlist(host: HostId): void;
    freeze(host: HostId): void;
    thaw(host: HostId): void;
    /** Drops messages from or to a host; replies in the other direction pass. */
    cut(host: HostId, direction: "in" | "out" | "none"): void;
    setLoss(part: number, delayMs: number): void;
    /** Runs the fleet for a time; settles what falls due. */
    advance(ms: number): Promise<void>;
}

interface Node {
    readonly host: HostId;
    limits: AccountLimits;
    isAlive: boolean;
    isFrozen: boolean;
    cutOff: "in" | "out" | "none";
    /** What has arrived or fallen due while the host was frozen. */
    held: (() => void)[];
    run: number;
}

/** One-way delay between hosts, in milliseconds. */
const DELAY_MS = { least: 0.2, most: 1.4 } as const;
/** Window, share and slack of the page docs/design/hard-load.md. */
const BOUNDS = { limitWindowMs: 8000, limitExcessRatio: 0.1, limitSlack: 110_000 } as const;
/** Rounds in which promises settle after a timer. */
const SETTLE_ROUNDS = 12;
const STEP_MS = 1;

/**
 * Creates hosts that share accounts' limits over a network without sockets, on a manual clock.
 *
 * @param count - Number of hosts
 * @param seed - Seed of delays and losses
 * @returns the fleet, without accounts
 *
 * @example
 * const fleet = await createAccountFleet(86, 1);
 */
export async function createAccountFleet(count: number, seed: number): Promise<AccountFleet> {
    const hash = await createHasher();
    const clock = createManualClock(1000);
    const random = createRandom(seed);
    const hosts = [...Array(count).keys()].map(index => brandId<HostId>(`host-${index + 1}`));
    const members = new Map(hosts.map(host => [host, toMember(host)]));
    const view = { members, config: { accounts: new Map<AccountName, ClientAccount>() } };
    const nodes = new Map<HostId, Node>();
    const decisions: Decision[] = [];
    let lossPart = 0;
    let extraDelayMs = 0;
    let messages = 0;
    /** Whether anything has run since promises last settled. */
    let isBusy = false;

    const runAt = (node: Node, run: number, fire: () => void): void => {
        if (!node.isAlive || node.run !== run) {
            return;
        }
        isBusy = true;
        if (node.isFrozen) {
            node.held.push(() => runAt(node, run, fire));
        }
        else {
            fire();
        }
    };
    const drawDelay = (): number =>
        DELAY_MS.least + (DELAY_MS.most - DELAY_MS.least) * random.next() + extraDelayMs * random.next();
    const isLost = (from: Node, to: Node): boolean =>
        from.cutOff === "out" || to.cutOff === "in" || random.next() < lossPart;
    const deliver = (from: Node, to: Node, fire: () => void): void => {
        messages += 1;
        if (!isLost(from, to)) {
            const { run } = to;
            clock.setTimer(drawDelay(), () => runAt(to, run, fire));
        }
    };
    const start = (node: Node): AccountLimits => {
        const { run } = node;
        const ownClock: Clock = {
            ...clock,
            setTimer: (delayMs, fire) => clock.setTimer(delayMs, () => runAt(node, run, fire)),
        };
        const request = (to: { readonly host: HostId }, name: ExchangeName, body: unknown, timeoutMs: number) =>
            new Promise((resolve, reject) => {
                ownClock.setTimer(timeoutMs, () => reject(new Error("timeout")));
                const target = nodes.get(to.host);
                if (target === undefined) {
                    return;
                }
                deliver(node, target, () => {
                    const reply = name === "accountGrant"
                        ? target.limits.handleGrant(body as never, node.host)
                        : Promise.resolve(target.limits.handleReturn(body as never));
                    void reply.then(answer => deliver(target, node, () => resolve(answer)));
                });
            });
        return createAccountLimits(
            {
                clock: ownClock,
                hash,
                deployment: { host: node.host, isFirstStart: run === 0 } as never,
                metrics: createMetrics(),
                random: createRandom(Math.floor(random.next() * 2 ** 31)),
                readBounds: () => BOUNDS as never,
            },
            view as never,
            () => ({ request }) as never,
        );
    };
    for (const host of hosts) {
        const node: Node = {
            host,
            limits: undefined as never,
            isAlive: true,
            isFrozen: false,
            cutOff: "none",
            held: [],
            run: 0,
        };
        node.limits = start(node);
        nodes.set(host, node);
    }
    const getNode = (host: HostId): Node =>
        nodes.get(host) ?? (() => {
            throw new Error(`no host ${host}`);
        })();
    const settle = async (): Promise<void> => {
        for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
            await Promise.resolve();
        }
    };
    return {
        clock,
        hosts,
        decisions,
        get messages() {
            return messages;
        },
        rank: account => rankByRendezvous(hash, account, [...members.keys()]),
        setAccounts(accounts) {
            view.config = {
                accounts: new Map(
                    accounts.map(({ name, limit }) => [name, { name, keys: [], priority: undefined, limit }]),
                ),
            };
        },
        request(host, name, cost) {
            const node = getNode(host);
            const account = view.config.accounts.get(name);
            const askedMs = clock.nowMs();
            if (account === undefined || !node.isAlive) {
                return;
            }
            runAt(node, node.run, () => {
                void node.limits.admit(account, { prompt: cost, maxOutput: 0 }).then(permit =>
                    decisions.push({ atMs: clock.nowMs(), askedMs, account: name, cost, permit })
                );
            });
        },
        kill(host) {
            const node = getNode(host);
            node.isAlive = false;
            node.run += 1;
            node.held = [];
        },
        restart(host) {
            const node = getNode(host);
            node.run += 1;
            node.isAlive = true;
            node.held = [];
            node.limits = start(node);
        },
        list: host => void members.set(host, toMember(host)),
        unlist: host => void members.delete(host),
        freeze: host => void (getNode(host).isFrozen = true),
        thaw(host) {
            const node = getNode(host);
            node.isFrozen = false;
            node.held.splice(0).forEach(fire => fire());
        },
        cut: (host, direction) => void (getNode(host).cutOff = direction),
        setLoss(part, delayMs) {
            lossPart = part;
            extraDelayMs = delayMs;
        },
        async advance(ms) {
            const endMs = clock.nowMs() + ms;
            while (clock.nowMs() < endMs) {
                await settle();
                isBusy = false;
                clock.advance(Math.min(STEP_MS, endMs - clock.nowMs()));
                if (isBusy) {
                    await settle();
                }
            }
        },
    };
}

function toMember(host: HostId): unknown {
    return { host, ip: "10.0.0.1", port: 1, isLeaving: false };
}
