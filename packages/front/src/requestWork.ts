import type { Route, Service } from "@fulmarcleat/directory";
import type { RequestId } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerRelay } from "./relayAnswer.js";
import type { WantedAdapter } from "./startAdapterBoard.js";

/** One client attempt on its way through this process. */
export interface RequestWork {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: RequestId;
    readonly head: ClientHead;
    readonly route: Route;
    readonly service: Service;
    readonly wanted: WantedAdapter | undefined;
    readonly body: Buffer;
    readonly startedMs: number;
    /** When its time is over, in milliseconds. */
    readonly endsAtMs: number;
    /** Aborted when the client leaves or the time is over. */
    readonly signal: AbortSignal;
    /** When it was last sent and when the first byte of an answer came, in milliseconds. */
    readonly times: { sentMs: number | undefined; firstByteMs: number | undefined };
    /** Undefined where the answer is gathered whole. */
    readonly relay: AnswerRelay | undefined;
}
