import type { ClientAccount, Route, Service } from "@fulmarcleat/directory";
import type { RequestDigest, RequestId } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ForwardMark } from "./forwardMark.js";
import type { AnswerRelay } from "./relayAnswer.js";
import type { RequestedAdapter } from "./startAdapterTracker.js";

/** A service that may serve a request. */
export interface ServiceOption {
    readonly service: Service;
    /** The adapter that the request needs there; undefined if it names none or the service runs no model. */
    readonly requestedAdapter: RequestedAdapter | undefined;
}

/** A client's request while this process serves it. */
export interface ClientRequest extends ServiceOption {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    readonly head: ClientHead;
    readonly route: Route;
    /** The route's other services: a stream goes on where it began, also if a new one would go elsewhere by now. */
    readonly alternatives: readonly ServiceOption[];
    /** The client's account; undefined without accounts in the configuration, and on anonymous routes. */
    readonly account: ClientAccount | undefined;
    /** 0 is the most urgent: the account's priority, or the route's if the account has none. */
    readonly priority: number;
    readonly body: Buffer;
    /** Tells whether two requests are the same; undefined while the hosts' shared key is not known. */
    readonly digest: RequestDigest | undefined;
    /** Clock reading when the request arrived, in milliseconds. */
    readonly startedMs: number;
    /** Clock reading at the request's deadline, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Tells whether the request, if it is sent to an engine now, ends before this host stops. */
    readonly endsBeforeStop: () => boolean;
    /** Aborted when the client disconnects or the deadline passes. */
    readonly signal: AbortSignal;
    /** Clock readings of the last send and of the answer's first byte, in milliseconds. */
    readonly times: { sentMs: number | undefined; firstByteMs: number | undefined };
    /** What another host states that has handed the request to this one; undefined if a client sent it here. */
    readonly mark: ForwardMark | undefined;
    /** Streams the answer to the client; undefined if the whole answer is buffered first. */
    readonly relay: AnswerRelay | undefined;
}
