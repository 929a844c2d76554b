import type {
    AnswerFraming,
    EngineAnswerHead,
    EngineExchange,
    EngineRequest,
    EngineTransport,
} from "@fulmarcleat/directory";
import type { Clock } from "@fulmarcleat/ids";
import { readMediaType } from "./readMediaType.js";
import type { AnswerRelay } from "./relayAnswer.js";

/** How one exchange with an engine ended. */
export type ExchangeResult =
    /** The whole answer has been sent to the client. */
    | { readonly kind: "relayed"; readonly status: number; readonly framing: AnswerFraming }
    /** The whole answer, buffered and not yet sent to the client. */
    | { readonly kind: "answer"; readonly head: EngineAnswerHead; readonly body: Buffer }
    | {
        readonly kind: "not_run";
        readonly status: number;
        /** Whether another engine answered at the address. */
        readonly isReplaced: boolean;
    }
    /** Nothing was sent to the engine. */
    | { readonly kind: "unsent"; readonly reason: string }
    /** The exchange failed after the request was sent, so the engine may have run it. */
    | {
        readonly kind: "broken";
        readonly reason: string;
        /** Framing of the answer; undefined if it broke before its head. */
        readonly framing: AnswerFraming | undefined;
    }
    /** The engine's answer began, but was discarded before the client got any of it; the engine may run on. */
    | { readonly kind: "discarded"; readonly framing: AnswerFraming | undefined }
    | { readonly kind: "cancelled" };

/** Settings of one exchange. */
export interface ExchangeOptions {
    readonly transport: Pick<EngineTransport, "send">;
    readonly clock: Clock;
    /** Streams the answer to the client as it arrives; undefined to buffer the whole answer. */
    readonly relay: AnswerRelay | undefined;
    /** Cancels the exchange when aborted. */
    readonly signal: AbortSignal;
    /** Time without a byte from the engine after which it counts as silent, in milliseconds; undefined for never. */
    readonly silenceMs: number | undefined;
    /** Called each time the engine has been silent for so long; the exchange stays open. */
    readonly onSilent: () => void;
    /** Called when an answer is to be relayed, before any of it is. */
    readonly onAccept: () => void;
    /**
     * Called before the client gets the first bytes of its answer, which are held until a returned promise resolves to
     * whether they may be sent; not called if an earlier exchange has sent some.
     */
    readonly onStart: () => Promise<boolean> | undefined;
    /** Called whenever bytes arrive from the engine. */
    readonly onBytes: () => void;
    /** Called once with the answer's head. */
    readonly onHead: (head: EngineAnswerHead) => void;
}

/** Largest answer that is buffered before it is sent to the client, in bytes. */
const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;
const OK_STATUSES = { from: 200, to: 300 } as const;

/**
 * Runs one exchange with an engine; failures are returned, never thrown.
 *
 * @param req - The request as it is sent to the engine
 * @param options - Transport, relay, limits and callbacks
 * @returns how the exchange ended
 *
 * @example
 * const result = await runExchange(req, { transport, clock, relay, signal, silenceMs, onSilent, ...callbacks });
 */
export function runExchange(req: EngineRequest, options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const { clock, relay, signal } = options;
        let head: EngineAnswerHead | undefined;
        let isRelayed = false;
        let isOver = false;
        let isHeld = false;
        const chunks: Buffer[] = [];
        let bufferedBytes = 0;
        let cancelSilenceTimer: () => void = () => undefined;
        const finish = (result: ExchangeResult): void => {
            if (!isOver) {
                isOver = true;
                cancelSilenceTimer();
                signal.removeEventListener("abort", abort);
                resolve(result);
            }
        };
        /** Ends the exchange once nothing of its answer is held any more. */
        const finishSettled = (result: ExchangeResult): void => {
            const settling = isRelayed ? relay?.settling : undefined;
            if (settling === undefined) {
                finish(result);
                return;
            }
            cancelSilenceTimer();
            void settling.then(isSent => isSent && finish(result));
        };
        /** Ends the exchange if what is held of its answer is discarded. */
        const watchHold = (settling: Promise<boolean> | undefined): void => {
            if (settling !== undefined && !isHeld) {
                isHeld = true;
                void settling.then(isSent => {
                    if (!isSent) {
                        exchange.cancel();
                        finish({ kind: "discarded", framing: head?.framing });
                    }
                });
            }
        };
        const abort = (): void => {
            exchange.cancel();
            finish({ kind: "cancelled" });
        };
        const restartSilenceTimer = (): void => {
            cancelSilenceTimer();
            if (options.silenceMs !== undefined && !isOver) {
                cancelSilenceTimer = clock.setTimer(options.silenceMs, () => {
                    restartSilenceTimer();
                    options.onSilent();
                });
            }
        };
        if (signal.aborted) {
            resolve({ kind: "cancelled" });
            return;
        }
        const exchange: EngineExchange = options.transport.send(req, {
            head(next) {
                options.onBytes();
                restartSilenceTimer();
                const unfit = findUnfitness(next, req, relay);
                if (unfit !== undefined) {
                    exchange.cancel();
                    finish({ kind: "broken", reason: unfit, framing: next.framing });
                    return;
                }
                head = next;
                options.onHead(next);
                isRelayed = relay !== undefined && isSuccess(next);
                if (isRelayed) {
                    options.onAccept();
                    relay?.begin(next);
                }
            },
            piece(bytes) {
                options.onBytes();
                restartSilenceTimer();
                if (isRelayed && relay !== undefined) {
                    const canTakeMore = relay.write(bytes, options.onStart);
                    watchHold(relay.settling);
                    if (relay.isEventTooLarge) {
                        exchange.cancel();
                        finishSettled({ kind: "broken", reason: "an event is too large", framing: head?.framing });
                        return false;
                    }
                    if (!canTakeMore) {
                        // The engine can't send while the client takes nothing.
                        cancelSilenceTimer();
                        relay.onDrain(() => {
                            restartSilenceTimer();
                            exchange.resume();
                        });
                    }
                    return canTakeMore;
                }
                chunks.push(bytes);
                bufferedBytes += bytes.length;
                if (bufferedBytes > MAX_BUFFERED_ANSWER_BYTES) {
                    exchange.cancel();
                    finish({ kind: "broken", reason: "the answer is too large", framing: head?.framing });
                }
                return true;
            },
            end() {
                if (head === undefined) {
                    finish({ kind: "broken", reason: "no head", framing: undefined });
                }
                else if (isRelayed && relay?.isInsideEvent === true) {
                    finishSettled({
                        kind: "broken",
                        reason: "the stream ended inside an event",
                        framing: head.framing,
                    });
                }
                else if (isRelayed) {
                    relay?.end();
                    finishSettled({ kind: "relayed", status: head.status, framing: head.framing });
                }
                else if (head.isNotRun) {
                    finish(describeNotRun(req, head));
                }
                else {
                    finish({ kind: "answer", head, body: Buffer.concat(chunks) });
                }
            },
            fail(failure) {
                if (head?.isNotRun === true) {
                    finish(describeNotRun(req, head));
                }
                else {
                    finishSettled(failure.kind === "unsent" ? failure : { ...failure, framing: head?.framing });
                }
            },
        });
        signal.addEventListener("abort", abort, { once: true });
        restartSilenceTimer();
    });
}

/** Returns why an answer can't be taken as this request's; undefined if it can. */
function findUnfitness(
    head: EngineAnswerHead,
    req: EngineRequest,
    relay: AnswerRelay | undefined,
): string | undefined {
    // A refusal may lack an id; the transport has made sure that it belongs to no earlier request on the connection.
    const isOwn = head.requestId === req.requestId || (head.requestId === undefined && head.isNotRun);
    if (!isOwn) {
        return "answer to another request";
    }
    const goesOn = relay?.hasStarted === true && isSuccess(head);
    return goesOn && readMediaType(head) !== relay.mediaType
        ? "the answer has another type than the stream"
        : undefined;
}

function isSuccess({ status }: EngineAnswerHead): boolean {
    return status >= OK_STATUSES.from && status < OK_STATUSES.to;
}

function describeNotRun(req: EngineRequest, { status, instance }: EngineAnswerHead): ExchangeResult {
    return { kind: "not_run", status, isReplaced: instance !== undefined && instance !== req.target.id };
}
