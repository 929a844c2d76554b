import { z } from "zod";
import { createFaultRoute, createStandinServer, serverFaultShape } from "./createStandinServer.js";
import type { StandinCall, StandinRoute, StandinServer } from "./createStandinServer.js";
import type { StandinAddress } from "./startKvStandin.js";

const faultSchema = z.strictObject({
    loseReplies: z.int().min(0).optional(),
    ...serverFaultShape,
});

/** Faults of a plain service. */
export type ServiceFaults = z.infer<typeof faultSchema>;

/** One call that a plain service ran. */
export interface ServiceRun {
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly key: string | undefined;
}

/** A running plain-service stand-in. */
export interface ServiceStandin {
    readonly url: string;
    setFaults(faults: ServiceFaults): void;
    record(): readonly ServiceRun[];
    close(): Promise<void>;
}

/**
 * Starts a small plain service that runs whatever it is called for and records it.
 *
 * @param address - Where to listen
 * @returns the running stand-in
 *
 * @example
 * const service = await startServiceStandin({ host: "127.0.0.1", port: 0 });
 */
export async function startServiceStandin(address: StandinAddress): Promise<ServiceStandin> {
    const runs: ServiceRun[] = [];
    let loseReplies = 0;
    const run = (call: StandinCall): unknown => {
        runs.push({
            method: call.req.method ?? "",
            path: call.req.url ?? "",
            body: typeof call.body === "string" ? call.body : JSON.stringify(call.body),
            key: call.req.headers["idempotency-key"]?.toString(),
        });
        if (loseReplies > 0) {
            loseReplies -= 1;
            call.req.socket.destroy();
            return undefined;
        }
        return { order: runs.length };
    };
    const setFaults = (faults: ServiceFaults): void => {
        loseReplies = faults.loseReplies ?? loseReplies;
        server.setFaults(faults);
    };
    const routes: StandinRoute[] = [
        createFaultRoute(faultSchema, setFaults),
        { method: "GET", path: "/record", answer: () => runs },
        ...(["GET", "POST", "PUT", "PATCH", "DELETE"] as const).map(method => ({ method, path: "/*", answer: run })),
    ];
    const server: StandinServer = await createStandinServer({ ...address, routes });
    return { url: server.url, setFaults, record: () => [...runs], close: () => server.close() };
}
