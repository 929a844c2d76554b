import type { Clock, EngineId, HostId } from "@fulmarcleat/ids";
import type { OwnerClaim } from "@fulmarcleat/residency";
import type { Member } from "./hostKeys.js";

/** The owner keys of all engines as the store has shown them. */
export interface OwnerClaims {
    /** Current owner key of each engine. */
    readonly current: ReadonlyMap<EngineId, OwnerClaim>;
    /** Clock reading since which each unowned engine has had no owner, in milliseconds. */
    readonly unownedSince: ReadonlyMap<EngineId, number>;
    /** Claims that have ended without a release; their owners may not know, and still order. */
    readonly lapsed: ReadonlyMap<EngineId, OwnerClaim>;
    /** Whether an engine has ever had an owner, as far as this host has seen. */
    hasBeenClaimed(engine: EngineId): boolean;
    /** Returns the last known entry of a host, also of one whose entry has ended lately. */
    findMember(host: HostId): Member | undefined;
}

/** The owner keys, and the changes of the store that they follow. */
export interface OwnerClaimRecords extends OwnerClaims {
    put(engine: EngineId, claim: OwnerClaim): void;
    /** Puts a claim from a copy that the store came back from; who owned the engine last is kept apart. */
    putRestored(engine: EngineId, claim: OwnerClaim): void;
    remove(engine: EngineId): void;
    putMember(member: Member): void;
    /** Forgets hosts and engines that have been gone for longer than any right to order lasts. */
    prune(isLive: (host: HostId) => boolean, isKnown: (engine: EngineId) => boolean): void;
}

/** Time after which hosts and engines that are gone are forgotten, in milliseconds; longer than any right to order. */
const FORGET_MS = 60_000;

/**
 * Creates the records of engines' owner keys. They also tell whose claim ended last, since that owner may still order.
 *
 * @param clock - Source of the monotonic time
 * @returns the records, empty
 *
 * @example
 * const claims = createOwnerClaims(clock);
 * claims.put(engine, claim);
 */
export function createOwnerClaims(clock: Pick<Clock, "nowMs">): OwnerClaimRecords {
    const current = new Map<EngineId, OwnerClaim>();
    const unownedSince = new Map<EngineId, number>();
    const lapsed = new Map<EngineId, OwnerClaim>();
    /** Engines that have had an owner, and when this host last knew of the engine. */
    const claimed = new Map<EngineId, number>();
    /** Last entry of each host, kept beyond the end of the host's lease, and when it was last live. */
    const lastMembers = new Map<HostId, { readonly member: Member; readonly liveMs: number }>();
    return {
        current,
        unownedSince,
        lapsed,
        findMember: host => lastMembers.get(host)?.member,
        hasBeenClaimed: engine => claimed.has(engine),
        put(engine, claim) {
            current.set(engine, claim);
            claimed.set(engine, clock.nowMs());
            lapsed.delete(engine);
            if (claim.isReleased || claim.hasLostPath) {
                unownedSince.set(engine, clock.nowMs());
            }
            else {
                unownedSince.delete(engine);
            }
        },
        putRestored(engine, claim) {
            if (!lapsed.has(engine)) {
                lapsed.set(engine, claim);
            }
            current.set(engine, { ...claim, isRestored: true });
            claimed.set(engine, clock.nowMs());
            unownedSince.set(engine, clock.nowMs());
        },
        remove(engine) {
            const claim = current.get(engine);
            if (claim !== undefined && !claim.isReleased) {
                lapsed.set(engine, claim);
            }
            current.delete(engine);
            unownedSince.set(engine, clock.nowMs());
        },
        putMember: member => void lastMembers.set(member.host, { member, liveMs: clock.nowMs() }),
        prune(isLive, isKnown) {
            const atMs = clock.nowMs();
            for (const [host, { member, liveMs }] of lastMembers) {
                if (isLive(host)) {
                    lastMembers.set(host, { member, liveMs: atMs });
                }
                else if (atMs - liveMs > FORGET_MS) {
                    lastMembers.delete(host);
                }
            }
            for (const [engine, knownMs] of claimed) {
                if (isKnown(engine)) {
                    claimed.set(engine, atMs);
                }
                else if (atMs - knownMs > FORGET_MS) {
                    claimed.delete(engine);
                    lapsed.delete(engine);
                    unownedSince.delete(engine);
                }
            }
        },
    };
}
