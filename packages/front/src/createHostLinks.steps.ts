import { sleep } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";

/** Links of a fleet's hosts, each of which carries bytes in and out at its own rate. */
export interface HostLinks {
    /**
     * Sends bytes over the links of both ends, in turn with what these carry already; an end without a name has no limit.
     * Resolves once all have arrived, or when nobody waits for them any more.
     */
    send(from: string | undefined, to: string | undefined, bytes: number, isAwaited: () => boolean): Promise<void>;
}

/** A direction of a host's link. */
interface Link {
    readonly mbps: number;
    /** When it will have carried what it was given, in milliseconds. */
    untilMs: number;
}

const BITS_PER_BYTE = 8;
/** Bits that a link of 1 Mbit/s carries in a millisecond. */
const BITS_PER_MS = 1000;
/** Bytes that a link carries of one reply before the next one's turn. */
const TURN_BYTES = 64_000;

/**
 * Creates the links of a fleet in memory.
 *
 * @param clock - True time
 * @param readMbps - Returns the rate of a host's link, in Mbit/s
 * @returns the links, idle
 *
 * @example
 * const links = createHostLinks(clock, () => 7);
 * await links.send("host-1", "host-2", 70_000, () => true);
 */
export function createHostLinks(clock: Clock, readMbps: (host: string) => number): HostLinks {
    const outbound = new Map<string, Link>();
    const inbound = new Map<string, Link>();
    const reserve = (links: Map<string, Link>, host: string | undefined, bytes: number): number => {
        if (host === undefined) {
            return clock.nowMs();
        }
        const link = links.get(host) ?? { mbps: readMbps(host), untilMs: 0 };
        links.set(host, link);
        link.untilMs = Math.max(clock.nowMs(), link.untilMs) + bytes * BITS_PER_BYTE / (link.mbps * BITS_PER_MS);
        return link.untilMs;
    };
    const waitUntil = async (atMs: number): Promise<void> => {
        if (atMs > clock.nowMs()) {
            await sleep(clock, atMs - clock.nowMs());
        }
    };
    return {
        async send(from, to, bytes, isAwaited) {
            let arrivedMs = clock.nowMs();
            for (let left = bytes; left > 0 && isAwaited(); left -= TURN_BYTES) {
                const turn = Math.min(left, TURN_BYTES);
                await waitUntil(reserve(outbound, from, turn));
                arrivedMs = reserve(inbound, to, turn);
                if (from === undefined) {
                    await waitUntil(arrivedMs);
                }
            }
            await waitUntil(arrivedMs);
        },
    };
}
