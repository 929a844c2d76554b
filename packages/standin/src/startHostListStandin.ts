import { z } from "zod";
import { createFaultRoute, createStandinServer, serverFaultShape } from "./createStandinServer.js";
import type { StandinAddress } from "./startKvStandin.js";

const hostSchema = z.object({
    host: z.string(),
    address: z.string(),
    port: z.int(),
    failureDomain: z.string(),
    state: z.enum(["live", "leaving"]),
});
const listSchema = z.object({ hosts: z.array(hostSchema) });
const faultSchema = z.strictObject({ lagMs: z.int().min(0).optional(), ...serverFaultShape });

/** Faults of the host-list stand-in. */
export type HostListFaults = z.infer<typeof faultSchema>;

/** One entry of the host list. */
export type StandinHost = z.infer<typeof hostSchema>;

/** A running host-list stand-in. */
export interface HostListStandin {
    readonly url: string;
    /** Replaces the list; readers receive it after the configured lag. */
    setHosts(hosts: readonly StandinHost[]): void;
    setFaults(faults: HostListFaults): void;
    close(): Promise<void>;
}

/**
 * Starts a small host list whose changes can be delayed.
 *
 * @param address - Address to listen on; port 0 chooses a free one
 * @param initial - Initial entries of the list
 * @returns the running stand-in
 *
 * @example
 * const list = await startHostListStandin({ host: "127.0.0.1", port: 0 }, []);
 */
export async function startHostListStandin(
    address: StandinAddress,
    initial: readonly StandinHost[],
): Promise<HostListStandin> {
    let visibleHosts = initial;
    let lagMs = 0;
    const timers = new Set<NodeJS.Timeout>();
    const setHosts = (hosts: readonly StandinHost[]): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            visibleHosts = hosts;
        }, lagMs);
        timers.add(timer);
        if (lagMs === 0) {
            visibleHosts = hosts;
        }
    };
    const setFaults: HostListStandin["setFaults"] = faults => {
        lagMs = faults.lagMs ?? lagMs;
        server.setFaults(faults);
    };
    const server = await createStandinServer({
        ...address,
        routes: [
            { method: "GET", path: "/hosts", handle: () => ({ hosts: visibleHosts }) },
            {
                method: "PUT",
                path: "/hosts",
                handle: request => {
                    setHosts(listSchema.parse(request.body).hosts);
                    return { done: true };
                },
            },
            createFaultRoute(faultSchema, setFaults),
        ],
    });
    return {
        url: server.url,
        setHosts,
        setFaults,
        close: () => {
            timers.forEach(timer => clearTimeout(timer));
            return server.close();
        },
    };
}
