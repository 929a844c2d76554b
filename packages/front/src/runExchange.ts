import type { EngineAnswerHead, EngineExchange, EngineRequest, EngineTransport } from "@fulmarcleat/directory";
import type { Clock } from "@fulmarcleat/ids";
import type { AnswerRelay } from "./relayAnswer.js";

/** How one exchange with an engine ended. */
export type ExchangeResult =
    /** The whole answer has gone to the client. */
    | { readonly kind: "relayed"; readonly status: number }
    /** The whole answer, not sent to the client so far. */
    | { readonly kind: "answer"; readonly head: EngineAnswerHead; readonly body: Buffer }
    | {
        readonly kind: "not_run";
        readonly status: number;
        /** Another engine answers at the address. */
        readonly isReplaced: boolean;
    }
    | { readonly kind: "unsent"; readonly reason: string }
    /** It may have run. */
    | { readonly kind: "broken"; readonly reason: string }
    | { readonly kind: "cancelled" };

/** What an exchange runs with. */
export interface ExchangeOptions {
    readonly transport: EngineTransport;
    readonly clock: Clock;
    /** Pieces go to the client as they come; undefined to gather the whole answer. */
    readonly relay: AnswerRelay | undefined;
    /** Ends the exchange at once. */
    readonly signal: AbortSignal;
    /** Longest time without a byte, in milliseconds; undefined for no limit. */
    readonly silenceMs: number | undefined;
    readonly onBytes: () => void;
    readonly onHead: (head: EngineAnswerHead) => void;
}

/** Largest answer that is gathered before it goes to the client, in bytes. */
const GATHER_LIMIT_BYTES = 1_048_576;
const OK_STATUSES = { from: 200, to: 300 } as const;

/**
 * Runs one exchange with an engine to its end.
 *
 * @param req - The request
 * @param options - Transport, relay and limits
 * @returns how it ended
 *
 * @example
 * const result = await runExchange(req, { transport, clock, relay, signal, silenceMs, onBytes, onHead });
 */
export function runExchange(req: EngineRequest, options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const { clock, relay, signal } = options;
        let head: EngineAnswerHead | undefined;
        let isRelayed = false;
        let isOver = false;
        const pieces: Buffer[] = [];
        let gathered = 0;
        let cancelSilence: () => void = () => undefined;
        const finish = (result: ExchangeResult): void => {
            if (!isOver) {
                isOver = true;
                cancelSilence();
                signal.removeEventListener("abort", abort);
                resolve(result);
            }
        };
        const abort = (): void => {
            exchange.cancel();
            finish({ kind: "cancelled" });
        };
        const watchSilence = (): void => {
            cancelSilence();
            if (options.silenceMs !== undefined && !isOver) {
                cancelSilence = clock.setTimer(options.silenceMs, () => {
                    exchange.cancel();
                    finish({ kind: "broken", reason: "silent" });
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
                watchSilence();
                if (next.requestId !== req.requestId && !next.isNotRun) {
                    exchange.cancel();
                    finish({ kind: "broken", reason: "answer to another request" });
                    return;
                }
                head = next;
                options.onHead(next);
                isRelayed = relay !== undefined && next.status >= OK_STATUSES.from && next.status < OK_STATUSES.to;
                if (isRelayed) {
                    relay?.begin(next);
                }
            },
            piece(bytes) {
                options.onBytes();
                watchSilence();
                if (isRelayed && relay !== undefined) {
                    const canTakeMore = relay.write(bytes);
                    if (!canTakeMore) {
                        relay.onDrain(() => exchange.resume());
                    }
                    return canTakeMore;
                }
                pieces.push(bytes);
                gathered += bytes.length;
                if (gathered > GATHER_LIMIT_BYTES) {
                    exchange.cancel();
                    finish({ kind: "broken", reason: "the answer is too large" });
                }
                return true;
            },
            end() {
                if (head === undefined) {
                    finish({ kind: "broken", reason: "no head" });
                }
                else if (isRelayed) {
                    relay?.end();
                    finish({ kind: "relayed", status: head.status });
                }
                else if (head.isNotRun) {
                    finish(describeNotRun(req, head));
                }
                else {
                    finish({ kind: "answer", head, body: Buffer.concat(pieces) });
                }
            },
            fail(failure) {
                finish(
                    head?.isNotRun === true
                        ? describeNotRun(req, head)
                        : { kind: failure.kind, reason: failure.reason },
                );
            },
        });
        signal.addEventListener("abort", abort, { once: true });
        watchSilence();
    });
}

function describeNotRun(req: EngineRequest, { status, instance }: EngineAnswerHead): ExchangeResult {
    return { kind: "not_run", status, isReplaced: instance !== undefined && instance !== req.target.id };
}
