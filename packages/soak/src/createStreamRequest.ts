import type { SoakRequest } from "./sendRequest.js";
import { HOST_NAME, MODEL } from "./startSoakFleet.js";

/** What a client asks of a stream. */
export interface StreamRange {
    readonly id: string;
    readonly adapter: string;
    /** Number of events. */
    readonly events: number;
    readonly deadlineMs: number;
}

/**
 * Creates a request for a stream of a model.
 *
 * @param range - Id, adapter, number of events and deadline
 * @returns the request
 *
 * @example
 * const req = createStreamRequest({ id: "stream-1", adapter: "a1", events: 60, deadlineMs: 5000 });
 */
export function createStreamRequest({ id, adapter, events, deadlineMs }: StreamRange): SoakRequest {
    return {
        id,
        kind: "streaming",
        hostName: HOST_NAME,
        path: `/answers/${id}`,
        body: "",
        deadlineMs,
        minVersion: 0,
        generation: { model: MODEL, adapter, events },
    };
}
