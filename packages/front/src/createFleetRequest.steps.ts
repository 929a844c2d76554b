import type { RouteKind, Service } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { PromptPart, Random, RequestDigest, RequestId, ServiceName } from "@fulmarcleat/ids";
import type { ServerResponse } from "node:http";
import type { ClientRequest } from "./clientRequest.js";
import type { FleetRequest, FrontFleetOptions } from "./frontFleet.steps.js";
import { createAnswerRelay } from "./relayAnswer.js";

/** The service of a fleet that has only one. */
const SERVICE: Service = { name: brandId<ServiceName>("models"), maxConnections: 100, engine: undefined };
/** The services of a fleet that has two. */
export const MODEL_SERVICE: Service = {
    ...SERVICE,
    engine: {
        batchSlots: 64,
        memoryMb: 80_000,
        adapterSlots: 8,
        models: [],
        loadsPerSecond: 4,
        eventTokens: undefined,
        memoryTokens: undefined,
    },
};
export const PLAIN_SERVICE: Service = { ...SERVICE, name: brandId<ServiceName>("plain") };
/** Share of the requests to each of two services, and of the plain one's requests that may run once only. */
const HALF = 0.5;
/** Deadline of each stream, in milliseconds. */
const DEADLINE_MS = 5000;
/** Deadline of each request of a plain service, in milliseconds. */
const PLAIN_DEADLINE_MS = 1000;

/**
 * Lists the services of a fleet.
 *
 * @param options - Options of the fleet
 * @returns the services, each with engines of its own
 *
 * @example
 * listServices({ hosts: 8, seed: 1, hasTwoServices: true, ...faults }); // [MODEL_SERVICE, PLAIN_SERVICE]
 */
export function listServices({ hasTwoServices }: FrontFleetOptions): readonly Service[] {
    return hasTwoServices === true ? [MODEL_SERVICE, PLAIN_SERVICE] : [SERVICE];
}

/**
 * Returns the time within which a request has to be answered.
 *
 * @param kind - Kind of its route
 * @returns the time in milliseconds
 *
 * @example
 * readDeadlineMs("streaming"); // 5000
 */
export function readDeadlineMs(kind: RouteKind): number {
    return kind === "streaming" ? DEADLINE_MS : PLAIN_DEADLINE_MS;
}

/**
 * Draws a request's service and kind.
 *
 * @param options - Options of the fleet
 * @param random - Random numbers, none of which is used if the fleet has one service
 * @returns the service and the kind of the route
 *
 * @example
 * drawKind({ hosts: 8, seed: 1, ...faults }, random).kind; // "streaming"
 */
export function drawKind(
    { hasTwoServices, plain }: FrontFleetOptions,
    random: Random,
): Pick<FleetRequest, "kind" | "service"> {
    if (hasTwoServices !== true) {
        return { service: SERVICE, kind: plain === undefined ? "streaming" : "safe" };
    }
    if (random.next() < HALF) {
        return { service: MODEL_SERVICE, kind: "streaming" };
    }
    return { service: PLAIN_SERVICE, kind: random.next() < HALF ? "safe" : "unsafe" };
}

/**
 * Creates a client's request for a stream of a model service.
 *
 * @param request - The request in the fleet's record
 * @param requestId - Its id
 * @param digest - Its digest
 * @param sharedParts - Parts of its prompt that other requests may share
 * @param signal - Aborted after the deadline
 * @returns the request as a host's runner takes it
 *
 * @example
 * runner.run(createStreamRequest(request, requestId, undefined, [], signal));
 */
export function createStreamRequest(
    { priority, sentMs, service }: FleetRequest,
    requestId: RequestId,
    digest: RequestDigest | undefined,
    sharedParts: readonly PromptPart[],
    signal: AbortSignal,
): ClientRequest {
    const res = {
        writeHead: () => undefined,
        write: () => true,
        end: () => undefined,
        destroy: () => undefined,
    } as unknown as ServerResponse;
    return {
        req: { method: "POST", url: "/" },
        res,
        requestId,
        head: { forwarded: [], sharedParts },
        route: { kind: "streaming", isResumable: true, maxEngines: 3, goalMs: 1000 },
        priority,
        service,
        alternatives: [],
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest,
        startedMs: sentMs,
        deadlineAtMs: sentMs + DEADLINE_MS,
        endsBeforeStop: () => true,
        signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
    } as unknown as ClientRequest;
}

/**
 * Creates a client's request for an answer of a plain service.
 *
 * @param request - The request in the fleet's record
 * @param requestId - Its id
 * @param digest - Its digest
 * @param signal - Aborted after the deadline
 * @returns the request as a host's runner takes it
 *
 * @example
 * runner.run(createPlainRequest(request, requestId, digest, signal));
 */
export function createPlainRequest(
    { priority, sentMs, service, kind }: FleetRequest,
    requestId: RequestId,
    digest: RequestDigest | undefined,
    signal: AbortSignal,
): ClientRequest {
    return {
        req: { method: kind === "safe" ? "GET" : "POST", url: "/" },
        res: {},
        requestId,
        head: { forwarded: [] },
        route: { kind, isResumable: false, maxEngines: 2, goalMs: 121 },
        priority,
        service,
        alternatives: [],
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest,
        startedMs: sentMs,
        deadlineAtMs: sentMs + PLAIN_DEADLINE_MS,
        endsBeforeStop: () => true,
        signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: undefined,
    } as unknown as ClientRequest;
}
