import type { ExchangeResult } from "./runExchange.js";

/** Result of an exchange whose engine is silent when another one begins. */
export const SILENT: ExchangeResult = { kind: "broken", reason: "silent", framing: undefined };

/** What an exchange tells while it runs. */
export interface ExchangeEvents {
    /** Called each time the engine has been silent for the limit. */
    readonly onSilent: () => void;
    /** Called whenever bytes arrive from the engine. */
    readonly onBytes: () => void;
    /** Called when the engine's answer is to be relayed, before any of it is. */
    readonly onAccept: () => void;
}

/** An exchange in flight. */
export interface RunningExchange {
    readonly result: Promise<ExchangeResult>;
    /** Closes the connection; the result is `cancelled`. */
    cancel(): void;
}

/** The steps of a request that another engine may take over. */
export interface TakeoverSteps<Target> {
    start(target: Target, events: ExchangeEvents): RunningExchange;
    /** Finds another engine while one is silent and the search is wanted; undefined if there is none at present. */
    findNext(silent: Target, isWanted: () => boolean): Promise<Target | undefined>;
    /** Records that the search for another engine failed; the request waits on. */
    recordFailedSearch(silent: Target, err: unknown): void;
    /** Records an exchange that doesn't end the request. */
    recordLoser(target: Target, result: ExchangeResult): void;
    /** Called when another exchange goes on in place of one that may have relayed a part of the answer. */
    onSwitch(): void;
}

/** The exchange that ended a request. */
export interface TakeoverEnd<Target> {
    readonly target: Target;
    readonly result: ExchangeResult;
}

interface Attempt<Target> {
    readonly target: Target;
    cancel(): void;
    /** Whether the engine has been silent for the limit and has sent nothing since. */
    isSilent: boolean;
    /** Whether its answer is relayed. */
    isAccepted: boolean;
}

/** Most engines that get a request one after the other in one silence. */
const MAX_STANDBYS = 3;

/**
 * Runs an exchange; while its engine is silent, the request is sent to another one too. Whichever sends an answer that
 * can be relayed first goes on, and the other exchange is closed, so that silence alone never ends an answer.
 *
 * @param first - The engine that gets the request first
 * @param steps - Starts exchanges, finds engines and records what is lost
 * @returns the exchange that ended the request and its result
 *
 * @example
 * const { target, result } = await runWithTakeover(first, { start, findNext, ...records, onSwitch });
 */
export function runWithTakeover<Target>(first: Target, steps: TakeoverSteps<Target>): Promise<TakeoverEnd<Target>> {
    return new Promise((resolve, reject) => {
        let current: Attempt<Target> | undefined;
        let standby: Attempt<Target> | undefined;
        let isFinding = false;
        let isOver = false;
        let standbysLeft = 0;

        const finish = (target: Target, result: ExchangeResult): void => {
            isOver = true;
            dropStandby();
            resolve({ target, result });
        };
        const dropStandby = (): void => {
            const dropped = standby;
            standby = undefined;
            if (dropped !== undefined) {
                dropped.cancel();
                steps.recordLoser(dropped.target, { kind: "cancelled" });
            }
        };
        const promoteStandby = (lost: ExchangeResult): void => {
            const former = current;
            current = standby;
            standby = undefined;
            if (former !== undefined) {
                former.cancel();
                steps.recordLoser(former.target, lost);
            }
            steps.onSwitch();
        };
        const findStandby = (silent: Attempt<Target>): void => {
            if (isFinding || standby !== undefined || standbysLeft === 0) {
                return;
            }
            standbysLeft -= 1;
            isFinding = true;
            const isWanted = (): boolean => !isOver && silent.isSilent && current === silent;
            steps.findNext(silent.target, isWanted)
                .finally(() => void (isFinding = false))
                .then(next => {
                    if (next !== undefined && isWanted()) {
                        start(next, attempt => void (standby = attempt));
                    }
                })
                .catch((err: unknown) => steps.recordFailedSearch(silent.target, err));
        };
        const start = (target: Target, place: (attempt: Attempt<Target>) => void): void => {
            const attempt: Attempt<Target> = {
                target,
                cancel: () => exchange.cancel(),
                isSilent: false,
                isAccepted: false,
            };
            const exchange = steps.start(target, {
                onSilent() {
                    attempt.isSilent = true;
                    if (attempt === current) {
                        standbysLeft = MAX_STANDBYS;
                        findStandby(attempt);
                    }
                },
                onBytes() {
                    attempt.isSilent = false;
                    if (attempt === current && attempt.isAccepted) {
                        dropStandby();
                    }
                },
                onAccept() {
                    attempt.isAccepted = true;
                    if (attempt === standby) {
                        promoteStandby(SILENT);
                    }
                    else if (attempt === current) {
                        dropStandby();
                    }
                },
            });
            place(attempt);
            exchange.result.then(result => handleEnd(attempt, result)).catch(reject);
        };
        const handleEnd = (attempt: Attempt<Target>, result: ExchangeResult): void => {
            if (isOver) {
                return;
            }
            if (attempt === standby) {
                standby = undefined;
                steps.recordLoser(attempt.target, result);
                if (current?.isSilent === true) {
                    findStandby(current);
                }
            }
            else if (attempt === current && standby !== undefined && hasFailed(result)) {
                promoteStandby(result);
            }
            else if (attempt === current) {
                finish(attempt.target, result);
            }
        };
        start(first, attempt => void (current = attempt));
    });
}

/** Whether an exchange ended without an answer, so that another one may still bring it. */
function hasFailed(result: ExchangeResult): boolean {
    switch (result.kind) {
        case "broken":
        case "discarded":
        case "not_run":
        case "unsent":
            return true;
        case "answer":
        case "cancelled":
        case "relayed":
            return false;
    }
}
