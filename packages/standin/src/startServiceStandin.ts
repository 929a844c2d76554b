import { z } from "zod";
import { createFaultRoute, createStandinServer, serverFaultShape } from "./createStandinServer.js";
import type { StandinRequest, StandinRoute, StandinServer } from "./createStandinServer.js";
import type { StandinAddress } from "./startKvStandin.js";

const faultSchema = z.strictObject({
    loseReplies: z.int().min(0).optional(),
    ...serverFaultShape,
});

/** Faults of the plain-service stand-in. */
export type ServiceFaults = z.infer<typeof faultSchema>;

/** One request that a plain service ran. */
export interface ServiceRun {
    readonly method: string;
    readonly path: string;
    readonly body: string;
    /** Value of the `idempotency-key` header. */
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
 * Starts a small plain service that accepts every request and records it.
 *
 * @param address - Address to listen on; port 0 chooses a free one
 * @returns the running stand-in
 *
 * @example
 * const service = await startServiceStandin({ host: "127.0.0.1", port: 0 });
 */
export async function startServiceStandin(address: StandinAddress): Promise<ServiceStandin> {
    const runs: ServiceRun[] = [];
    let loseReplies = 0;
    const runRequest = (request: StandinRequest): unknown => {
        runs.push({
            method: request.req.method ?? "",
            path: request.req.url ?? "",
            body: typeof request.body === "string" ? request.body : JSON.stringify(request.body),
            key: request.req.headers["idempotency-key"]?.toString(),
        });
        if (loseReplies > 0) {
            loseReplies -= 1;
            request.req.socket.destroy();
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
        { method: "GET", path: "/record", handle: () => runs },
        ...(["GET", "POST", "PUT", "PATCH", "DELETE"] as const).map(method => ({
            method,
            path: "/*",
            handle: runRequest,
        })),
    ];
    const server: StandinServer = await createStandinServer({ ...address, routes });
    return { url: server.url, setFaults, record: () => [...runs], close: () => server.close() };
}
