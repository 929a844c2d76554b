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

/** Faults of the host list. */
export type HostListFaults = z.infer<typeof faultSchema>;

/** One host on the stand-in's list. */
export type StandinHost = z.infer<typeof hostSchema>;

/** A running host-list stand-in. */
export interface HostListStandin {
    readonly url: string;
    /** Replaces the list; readers see it after the lag. */
    setHosts(hosts: readonly StandinHost[]): void;
    setFaults(faults: HostListFaults): void;
    close(): Promise<void>;
}

/**
 * Starts a small host list that can lag.
 *
 * @param address - Where to listen
 * @param initial - Hosts at the start
 * @returns the running stand-in
 *
 * @example
 * const list = await startHostListStandin({ host: "127.0.0.1", port: 0 }, []);
 */
export async function startHostListStandin(
    address: StandinAddress,
    initial: readonly StandinHost[],
): Promise<HostListStandin> {
    let shown = initial;
    let lagMs = 0;
    const timers = new Set<NodeJS.Timeout>();
    const setHosts = (hosts: readonly StandinHost[]): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            shown = hosts;
        }, lagMs);
        timers.add(timer);
        if (lagMs === 0) {
            shown = hosts;
        }
    };
    const setFaults: HostListStandin["setFaults"] = faults => {
        lagMs = faults.lagMs ?? lagMs;
        server.setFaults(faults);
    };
    const server = await createStandinServer({
        ...address,
        routes: [
            { method: "GET", path: "/hosts", answer: () => ({ hosts: shown }) },
            {
                method: "PUT",
                path: "/hosts",
                answer: call => {
                    setHosts(listSchema.parse(call.body).hosts);
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
