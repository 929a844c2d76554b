import type { Service } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { PromptPart, RequestDigest, RequestId, ServiceName } from "@fulmarcleat/ids";
import type { ServerResponse } from "node:http";
import type { ClientRequest } from "./clientRequest.js";
import type { FleetRequest } from "./frontFleet.steps.js";
import { createAnswerRelay } from "./relayAnswer.js";

/** The service whose engines the fleet has. */
export const SERVICE: Service = { name: brandId<ServiceName>("models"), maxConnections: 100, engine: undefined };
/** Deadline of each stream, in milliseconds. */
const DEADLINE_MS = 5000;
/** Deadline of each request of a plain service, in milliseconds. */
const PLAIN_DEADLINE_MS = 1000;

/**
 * Creates a client's request for a stream of a model service.
 *
 * @param request - The request in the fleet's record
 * @param requestId - Its id
 * @param digest - Its digest
 * @param sharedParts - Parts of its prompt that other requests may share
 * @returns the request as a host's runner takes it
 *
 * @example
 * runner.run(createStreamRequest(request, requestId, undefined, []));
 */
export function createStreamRequest(
    { priority, sentMs }: FleetRequest,
    requestId: RequestId,
    digest: RequestDigest | undefined,
    sharedParts: readonly PromptPart[],
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
        route: { kind: "streaming", isResumable: true, maxEngines: 3, goalMs: 1000, priority },
        service: SERVICE,
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest,
        startedMs: sentMs,
        deadlineAtMs: sentMs + DEADLINE_MS,
        signal: new AbortController().signal,
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
 * @returns the request as a host's runner takes it
 *
 * @example
 * runner.run(createPlainRequest(request, requestId, digest));
 */
export function createPlainRequest(
    { priority, sentMs }: FleetRequest,
    requestId: RequestId,
    digest: RequestDigest | undefined,
): ClientRequest {
    return {
        req: { method: "GET", url: "/" },
        res: {},
        requestId,
        head: { forwarded: [] },
        route: { kind: "safe", isResumable: false, maxEngines: 2, goalMs: 121, priority },
        service: SERVICE,
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest,
        startedMs: sentMs,
        deadlineAtMs: sentMs + PLAIN_DEADLINE_MS,
        signal: new AbortController().signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: undefined,
    } as unknown as ClientRequest;
}
