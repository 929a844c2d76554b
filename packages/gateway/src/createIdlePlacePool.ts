import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { HeldPlace } from "./createPlaceRouter.js";

/** Places whose request has finished, held for a short time for the next request with the same key. */
export interface IdlePlacePool {
    /** Adds a place; it is released unless it is acquired within `idleMs` milliseconds. */
    add(key: string, place: HeldPlace, idleMs: number): void;
    /** Removes and returns a place of this key that may still start a request. */
    acquire(key: string, mayStart: (place: HeldPlace) => boolean): HeldPlace | undefined;
    /** Releases all places at once. */
    releaseAll(): void;
}

interface IdlePlace {
    readonly key: string;
    readonly place: HeldPlace;
    readonly cancel: CancelTimer;
}

/**
 * Creates a pool of idle places.
 *
 * @param clock - Clock for the expiry timers
 * @param release - Called with each place that expired or was released with all others
 * @returns an empty pool
 *
 * @example
 * const idlePlaces = createIdlePlacePool(clock, place => releaseHeld(place));
 */
export function createIdlePlacePool(clock: Clock, release: (place: HeldPlace) => void): IdlePlacePool {
    const idle = new Set<IdlePlace>();
    const remove = (entry: IdlePlace): void => {
        idle.delete(entry);
        entry.cancel();
    };
    return {
        add(key, place, idleMs) {
            const entry: IdlePlace = {
                key,
                place,
                cancel: clock.setTimer(idleMs, () => {
                    idle.delete(entry);
                    release(place);
                }),
            };
            idle.add(entry);
        },
        acquire(key, mayStart) {
            for (const entry of idle) {
                if (entry.key === key && mayStart(entry.place)) {
                    remove(entry);
                    return entry.place;
                }
            }
            return undefined;
        },
        releaseAll() {
            for (const entry of [...idle]) {
                remove(entry);
                release(entry.place);
            }
        },
    };
}
