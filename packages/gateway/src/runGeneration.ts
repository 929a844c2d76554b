import { decideRetry } from "@fulmarcleat/admission";
import type { RetryBudget } from "@fulmarcleat/admission";
import type { EngineDriver, EngineToken } from "@fulmarcleat/drivers";
import { combineOutcomes, ServeError, toServeError } from "@fulmarcleat/errors";
import type { Outcome } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { sleep } from "@fulmarcleat/ids";
import type { Clock, EngineId } from "@fulmarcleat/ids";
import type { Priority } from "@fulmarcleat/resources";
import type { PlaceOutcome } from "@fulmarcleat/wire";
import type { HeldPlace, PlaceRouter } from "./createPlaceRouter.js";
import type { AnswerSink, Generation } from "./generation.js";

/** Dependencies and limits of a run. */
export interface GenerationContext {
    readonly router: PlaceRouter;
    readonly findEngine: (engine: EngineId) => EngineDriver | undefined;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Records a step of the request in the host's decision log. */
    readonly recordStep: (generation: Generation, step: string, detail: string) => void;
    /** Claims the key of a non-repeatable request; throws ServeError if the request may not run. */
    readonly claim: (generation: Generation) => Promise<void>;
    /** Retry budget of the host; retries are unlimited if undefined. */
    readonly retries?: RetryBudget;
    /** Aborts when the caller disconnects or the deadline passes. */
    readonly signal: AbortSignal;
}

/** Maximum number of attempts per request, including the first. */
const MAX_ATTEMPTS = 4;
/** Maximum number of times that a broken stream is resumed on its engine. */
const MAX_RESUMES = 3;
/** Engine-side priority per class; engines schedule lower values first. */
const ENGINE_PRIORITY: Readonly<Record<Priority, number>> = { urgent: 0, normal: 10, bulk: 20 };

/**
 * Runs a request on exactly the requested adapter version and writes the complete answer to the sink.
 *
 * @param generation - Validated request
 * @param sink - Receives the text of the answer in order
 * @param context - Router, engine drivers, metrics and the abort signal
 * @returns nothing, after the sink has finished the answer
 * @throws ServeError whose outcome covers all attempts of the request
 *
 * @example
 * await runGeneration(generation, sink, context);
 */
export async function runGeneration(
    generation: Generation,
    sink: AnswerSink,
    context: GenerationContext,
): Promise<void> {
    let avoid: readonly EngineId[] = [];
    context.retries?.deposit();
    let isClaimed = false;
    const outcomes: Outcome[] = [];
    for (let attempt = 1;; attempt += 1) {
        const held = await acquirePlace(generation, avoid, context).catch((err: unknown) => {
            throw withCombinedOutcome(outcomes, toServeError(err, { ...PLACE_WAIT_DETAILS, outcome: "not_run" }));
        });
        context.recordStep(generation, "place", `${held.engine} ${held.instance}`);
        try {
            if (generation.key !== undefined && !isClaimed) {
                await context.claim(generation);
                isClaimed = true;
            }
            await runAttempt(generation, held, sink, context);
            context.router.release(held, "finished");
            return;
        }
        catch (err) {
            const failure = applyAbortReason(
                context.signal,
                toServeError(err, { code: "internal", step: "run", peer: held.engine, outcome: "unknown" }),
            );
            context.router.release(held, toPlaceOutcome(failure, generation.key === undefined || isClaimed));
            const decision = decideRetry({
                attempt,
                maxAttempts: MAX_ATTEMPTS,
                isRetryable: mayRetry(generation, failure, sink, context),
                tokens: context.retries?.tokens ?? Infinity,
                timeLeftMs: generation.deadlineMs - context.clock.nowMs(),
                draw: context.retries?.draw() ?? 0,
            });
            if (decision.kind === "give_up") {
                context.metrics.count("retries_given_up_total", { reason: decision.reason });
                throw withCombinedOutcome(outcomes, failure);
            }
            outcomes.push(failure.outcome);
            context.retries?.spend();
            context.metrics.count("retries_total", { reason: failure.code });
            context.metrics.count("requests_run_again_total", { reason: failure.code });
            context.log.write("info", 402, {
                requestId: generation.requestId,
                reason: failure.code,
                engine: held.engine,
            });
            context.recordStep(generation, "retry", failure.code);
            sink.discard();
            avoid = [...avoid, held.engine];
            if (decision.delayMs > 0) {
                await sleep(context.clock, decision.delayMs);
            }
        }
    }
}

/** Returns the last attempt's failure with the combined outcome of all attempts. */
function withCombinedOutcome(previous: readonly Outcome[], failure: ServeError): ServeError {
    const outcome = combineOutcomes([...previous, failure.outcome]);
    const { code, step, peer, message, retryAfterMs } = failure;
    return outcome === failure.outcome
        ? failure
        : new ServeError(message, { code, step, peer, outcome, retryAfterMs, cause: failure });
}

function toPlaceOutcome(failure: ServeError, mayHaveStarted: boolean): PlaceOutcome {
    if (!mayHaveStarted) {
        return "unused";
    }
    return failure.code === "upstream_refused" ? "not_loaded" : "failed";
}

/** Waits for a place until the request is aborted; a place granted after that is released unused. */
async function acquirePlace(
    generation: Generation,
    avoid: readonly EngineId[],
    context: GenerationContext,
): Promise<HeldPlace> {
    const { router, signal } = context;
    let onAbort = (): void => undefined;
    const aborted = new Promise<never>((resolve, reject) => {
        onAbort = () => reject(createAbortError());
        signal.addEventListener("abort", onAbort, { once: true });
    });
    const createAbortError = (): ServeError =>
        new ServeError("the request was aborted while it waited for a place", {
            ...PLACE_WAIT_DETAILS,
            outcome: "not_run",
        });
    const pending = router.acquire({ ...generation, avoid });
    try {
        return await Promise.race([pending, aborted]);
    }
    catch (err) {
        pending.then(held => router.release(held, "unused"), () => undefined);
        throw applyAbortReason(signal, toServeError(err, { ...PLACE_WAIT_DETAILS, outcome: "not_run" }));
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
}

const PLACE_WAIT_DETAILS = { code: "internal", step: "find place", peer: "self" } as const;

/** Replaces the failure's code and message by the abort reason, if the request was aborted. */
function applyAbortReason(signal: AbortSignal, failure: ServeError): ServeError {
    if (!(signal.reason instanceof ServeError)) {
        return failure;
    }
    const { code, message } = signal.reason;
    const { step, peer, outcome } = failure;
    return new ServeError(message, { code, step, peer, outcome, cause: failure });
}

function mayRetry(
    generation: Generation,
    failure: ServeError,
    sink: AnswerSink,
    context: GenerationContext,
): boolean {
    if (sink.started || context.signal.aborted || !RETRYABLE_CODES.has(failure.code)) {
        return false;
    }
    return failure.outcome === "not_run" || generation.key === undefined;
}

const RETRYABLE_CODES: ReadonlySet<string> = new Set([
    "upstream_failed",
    "upstream_refused",
    "upstream_silent",
    "stream_broken",
]);

async function runAttempt(
    generation: Generation,
    held: HeldPlace,
    sink: AnswerSink,
    context: GenerationContext,
): Promise<void> {
    const engine = context.findEngine(held.engine);
    if (engine === undefined) {
        throw new ServeError("the engine was removed from the configuration", {
            code: "no_upstream",
            step: "open stream",
            peer: held.engine,
            outcome: "not_run",
        });
    }
    if (!context.router.mayStart(held)) {
        throw new ServeError("the place expired before the request could start", {
            code: "upstream_refused",
            step: "open stream",
            peer: held.engine,
            outcome: "not_run",
        });
    }
    if (context.signal.aborted) {
        throw new ServeError("the caller disconnected or the deadline passed before the request was sent", {
            code: "deadline_passed",
            step: "open stream",
            peer: held.engine,
            outcome: "not_run",
        });
    }
    const cancel = (): void => void engine.cancelStream(generation.requestId).catch(() => undefined);
    context.signal.addEventListener("abort", cancel, { once: true });
    try {
        await relayTokens(generation, held, engine, sink, context);
    }
    catch (err) {
        if (!context.signal.aborted && !(err instanceof ServeError && err.outcome === "not_run")) {
            cancel();
        }
        throw err;
    }
    finally {
        context.signal.removeEventListener("abort", cancel);
    }
}

async function relayTokens(
    generation: Generation,
    held: HeldPlace,
    engine: EngineDriver,
    sink: AnswerSink,
    context: GenerationContext,
): Promise<void> {
    let next = 0;
    let tokens = await openTokenStream(generation, held, engine, context);
    for (let resumes = 0;; resumes += 1) {
        try {
            for await (const token of tokens) {
                validateToken(token, next, held);
                next += 1;
                const drained = sink.write(token.text);
                if (drained !== undefined) {
                    await drained;
                }
                if (token.finishReason !== undefined) {
                    await sink.finish(token.finishReason, next);
                    return;
                }
            }
            throw createStreamBrokenError("the stream ended before the last token", held);
        }
        catch (err) {
            const failure = toServeError(err, {
                code: "stream_broken",
                step: "read stream",
                peer: held.engine,
                outcome: "ran",
            });
            tokens = await resumeTokenStream(generation, held, engine, context, { failure, next, resumes });
        }
    }
}

function createStreamBrokenError(message: string, held: HeldPlace): ServeError {
    return new ServeError(message, { code: "stream_broken", step: "read stream", peer: held.engine, outcome: "ran" });
}

async function openTokenStream(
    generation: Generation,
    held: HeldPlace,
    engine: EngineDriver,
    context: GenerationContext,
): Promise<AsyncIterable<EngineToken>> {
    const { requestId, input, sampling, maxTokens, priority } = generation;
    const result = await engine.openStream({
        requestId,
        instance: held.instance,
        input,
        sampling,
        maxTokens,
        priority: ENGINE_PRIORITY[priority],
        freshConnection: generation.key !== undefined,
        signal: context.signal,
    });
    if (result.kind === "refused") {
        throw new ServeError(`the engine refused: ${result.reason}`, {
            code: "upstream_refused",
            step: "open stream",
            peer: held.engine,
            outcome: "not_run",
        });
    }
    return result.tokens;
}

/** A stream that failed before its last token. */
interface BrokenStream {
    readonly failure: ServeError;
    /** Index of the next token expected. */
    readonly next: number;
    /** How often the stream was resumed before. */
    readonly resumes: number;
}

async function resumeTokenStream(
    generation: Generation,
    held: HeldPlace,
    engine: EngineDriver,
    context: GenerationContext,
    broken: BrokenStream,
): Promise<AsyncIterable<EngineToken>> {
    const { failure, next, resumes } = broken;
    const ranError = new ServeError(failure.message, {
        code: failure.code,
        step: failure.step,
        peer: held.engine,
        outcome: "ran",
        cause: failure,
    });
    if (failure.code === "adapter_mismatch") {
        context.metrics.count("adapter_mismatches_total");
        context.log.write("error", 404, { requestId: generation.requestId, engine: held.engine, asked: held.instance });
    }
    if (context.signal.aborted || !RESUMABLE_CODES.has(failure.code)) {
        throw ranError;
    }
    for (let attempt = resumes; attempt < MAX_RESUMES; attempt += 1) {
        context.metrics.count("retries_total", { reason: failure.code });
        const result = await engine.resumeStream(generation.requestId, next - 1, context.signal).catch(() => undefined);
        if (result?.kind === "accepted") {
            context.metrics.count("stream_resumes_total");
            context.log.write("info", 403, { requestId: generation.requestId, engine: held.engine, after: next });
            return result.tokens;
        }
        if (result?.kind === "refused" || context.signal.aborted) {
            break;
        }
    }
    throw ranError;
}

const RESUMABLE_CODES: ReadonlySet<string> = new Set(["stream_broken", "upstream_silent"]);

function validateToken(token: EngineToken, expected: number, held: HeldPlace): void {
    if (token.instance !== held.instance) {
        throw new ServeError("the engine ran a different adapter instance", {
            code: "adapter_mismatch",
            step: "check answer",
            peer: held.engine,
            outcome: "ran",
        });
    }
    if (token.index !== expected) {
        throw new ServeError("a token of the answer is missing or out of order", {
            code: "stream_broken",
            step: "check answer",
            peer: held.engine,
            outcome: "ran",
        });
    }
}
