import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { HeldPlace } from "./createPlaceRouter.js";

/** Places whose request has finished, kept a moment for the next request of the same kind. */
export interface IdlePlaces {
    /** Keeps a place for `keepMs`; `expire` gives it back where nobody took it. */
    put(key: string, place: HeldPlace, keepMs: number): void;
    /** Takes out a place that may still start a request. */
    take(key: string, mayStart: (place: HeldPlace) => boolean): HeldPlace | undefined;
    /** Gives every place back at once. */
    clear(): void;
}

interface IdlePlace {
    readonly key: string;
    readonly place: HeldPlace;
    readonly cancel: CancelTimer;
}

/**
 * Creates the store of idle places.
 *
 * @param clock - Source of time
 * @param expire - Gives a place back to its owner
 * @returns the store
 *
 * @example
 * const idle = createIdlePlaces(clock, place => giveBack(place));
 */
export function createIdlePlaces(clock: Clock, expire: (place: HeldPlace) => void): IdlePlaces {
    const idle = new Set<IdlePlace>();
    const remove = (entry: IdlePlace): void => {
        idle.delete(entry);
        entry.cancel();
    };
    return {
        put(key, place, keepMs) {
            const entry: IdlePlace = {
                key,
                place,
                cancel: clock.setTimer(keepMs, () => {
                    idle.delete(entry);
                    expire(place);
                }),
            };
            idle.add(entry);
        },
        take(key, mayStart) {
            for (const entry of idle) {
                if (entry.key === key && mayStart(entry.place)) {
                    remove(entry);
                    return entry.place;
                }
            }
            return undefined;
        },
        clear() {
            for (const entry of [...idle]) {
                remove(entry);
                expire(entry.place);
            }
        },
    };
}
