import { STORE_REPLY_TIMEOUT_MS } from "@fulmarcleat/directory";
import type { MetadataStore } from "@fulmarcleat/directory";
import type { Clock } from "@fulmarcleat/ids";

/** Faults of single hosts of a fleet in memory, switched while it runs. */
export interface HostFaults {
    /** Cuts exactly these hosts off from the store; what they had sent before gets no reply either. */
    cutFromStore(hosts: readonly string[]): void;
    /** Lets the store reject the calls of exactly these hosts. */
    turnAway(hosts: readonly string[]): void;
    /** Freezes exactly these hosts; their timers and replies wait until they run again. */
    freeze(hosts: readonly string[]): void;
    /** Freezes exactly these hosts and stops their monotonic clocks, as a suspended machine does. */
    suspend(hosts: readonly string[]): void;
    /** Lets a host's clock run at a rate of its own from now on; 1 is true time. */
    setClockRate(host: string, rate: number): void;
    isFrozen(host: string): boolean;
    /** Resolves once the host runs. */
    whenRunning(host: string): Promise<void>;
    /** Returns a host's own clock. */
    wrapClock(host: string): Clock;
    /** Returns the store as a host reaches it. */
    wrapStore(host: string, store: MetadataStore): MetadataStore;
}

/** Time until the store rejects a call, in milliseconds. */
const REFUSAL_MS = 5;

/** Readings of a host's clock at the last change of its rate. */
interface HostClock {
    rate: number;
    fromMs: number;
    ownMs: number;
}

/**
 * Creates the switches for the faults of single hosts.
 *
 * @param clock - True time
 * @returns the switches, all off
 *
 * @example
 * const faults = createHostFaults(clock);
 * faults.cutFromStore(["host-1"]);
 */
export function createHostFaults(clock: Clock): HostFaults {
    let storeCut: ReadonlySet<string> = new Set();
    let turnedAway: ReadonlySet<string> = new Set();
    let frozen: ReadonlySet<string> = new Set();
    let suspended: ReadonlySet<string> = new Set();
    const clocks = new Map<string, HostClock>();
    const waiting = new Map<string, (() => void)[]>();
    const isFrozen = (host: string): boolean => frozen.has(host) || suspended.has(host);
    const runWhenThawed = (host: string, run: () => void): void => {
        if (!isFrozen(host)) {
            run();
            return;
        }
        waiting.set(host, [...waiting.get(host) ?? [], run]);
    };
    const getClock = (host: string): HostClock => {
        const existing = clocks.get(host) ?? { rate: 1, fromMs: clock.nowMs(), ownMs: clock.nowMs() };
        clocks.set(host, existing);
        return existing;
    };
    const readOwnMs = (host: string): number => {
        const own = getClock(host);
        return own.ownMs + (clock.nowMs() - own.fromMs) * own.rate;
    };
    const setRate = (host: string, rate: number): void =>
        void clocks.set(host, { rate, fromMs: clock.nowMs(), ownMs: readOwnMs(host) });
    const thaw = (): void => {
        for (const [host, runs] of [...waiting].filter(([name]) => !isFrozen(name))) {
            waiting.delete(host);
            runs.forEach(run => run());
        }
    };
    return {
        cutFromStore: hosts => void (storeCut = new Set(hosts)),
        turnAway: hosts => void (turnedAway = new Set(hosts)),
        freeze(hosts) {
            frozen = new Set(hosts);
            thaw();
        },
        suspend(hosts) {
            suspended.forEach(host => setRate(host, 1));
            suspended = new Set(hosts);
            suspended.forEach(host => setRate(host, 0));
            thaw();
        },
        setClockRate: setRate,
        isFrozen,
        whenRunning: host => new Promise(resolve => runWhenThawed(host, resolve)),
        wrapClock: host => ({
            wallMs: () => clock.wallMs(),
            nowMs: () => readOwnMs(host),
            setTimer(delayMs, fire) {
                const rate = getClock(host).rate || 1;
                return clock.setTimer(delayMs / rate, () => runWhenThawed(host, fire));
            },
        }),
        wrapStore(host, store) {
            const reach = <T>(call: () => Promise<T>, waitMs = 0): Promise<T> =>
                new Promise((resolve, reject) => {
                    clock.setTimer(
                        waitMs + STORE_REPLY_TIMEOUT_MS,
                        () => runWhenThawed(host, () => reject(new Error("the store did not reply"))),
                    );
                    if (storeCut.has(host)) {
                        return;
                    }
                    if (turnedAway.has(host)) {
                        clock.setTimer(
                            REFUSAL_MS,
                            () => runWhenThawed(host, () => reject(new Error("the store rejected the call"))),
                        );
                        return;
                    }
                    call().then(
                        reply =>
                            !storeCut.has(host) && !turnedAway.has(host) && runWhenThawed(host, () => resolve(reply)),
                        (err: unknown) => runWhenThawed(host, () => reject(err as Error)),
                    );
                });
            return {
                list: prefix => reach(() => store.list(prefix)),
                watch: (prefix, after, waitMs) => reach(() => store.watch(prefix, after, waitMs), waitMs),
                change: change => reach(() => store.change(change)),
                openLease: ttlMs => reach(() => store.openLease(ttlMs)),
                renewLease: lease => reach(() => store.renewLease(lease)),
                endLease: lease => reach(() => store.endLease(lease)),
                close: () => store.close(),
            };
        },
    };
}
