import type { StoredAnswer } from "@fulmarcleat/wire";
import type { AnswerSink, Generation } from "./generation.js";
import { runGeneration } from "./runGeneration.js";
import type { GenerationContext } from "./runGeneration.js";
import { runKeyedRequest } from "./runKeyedRequest.js";
import type { KeyedHooks } from "./runKeyedRequest.js";
import type { KeyedClaims } from "./startClaimTask.js";

/** Dependencies of a keyed run. */
export interface KeyedGenerationContext extends Omit<GenerationContext, "claim"> {
    readonly claims: KeyedClaims;
    /** Creates the sink for an answer of a model; `replayed` marks a stored answer that is sent again. */
    readonly createSink: (model: string, replayed: boolean) => AnswerSink;
}

/** Longest answer that is stored for replay, in UTF-16 code units. */
const MAX_STORED_ANSWER_CHARS = 262_144;

/**
 * Runs a keyed request for generated text at most once, or sends the stored answer of its key again.
 *
 * @param generation - Validated request
 * @param key - Idempotency key of the request
 * @param context - Claims, router, engine drivers and sink factory
 * @returns nothing, after the complete answer was written
 * @throws ServeError with the outcome of the request
 *
 * @example
 * await runKeyedGeneration(generation, key, context);
 */
export async function runKeyedGeneration(
    generation: Generation,
    key: string,
    context: KeyedGenerationContext,
): Promise<void> {
    const { caller, requestHash, requestId, deadlineMs, offered } = generation;
    const model = `${offered.adapter}@${offered.version}`;
    const result = await runKeyedRequest(
        context.claims,
        { caller, key, requestHash, requestId, deadlineMs },
        hooks =>
            runGeneration(generation, recordAnswer(context.createSink(model, false), model, hooks), {
                ...context,
                claim: () => hooks.claim(),
            }),
    );
    if (result.kind === "replay" && result.answer.kind === "generation") {
        context.metrics.count("replays_total");
        await replay(result.answer, context);
    }
}

async function replay(
    answer: Extract<StoredAnswer, { kind: "generation" }>,
    context: KeyedGenerationContext,
): Promise<void> {
    const sink = context.createSink(answer.ranModel, true);
    await sink.write(answer.text);
    await sink.finish(answer.finishReason, answer.tokens);
}

/** Wraps a sink to collect the answer and report it for storage before its end is sent. */
function recordAnswer(sink: AnswerSink, ranModel: string, hooks: KeyedHooks): AnswerSink {
    const chunks: string[] = [];
    let chars = 0;
    return {
        write(text) {
            chars += text.length;
            if (chars <= MAX_STORED_ANSWER_CHARS) {
                chunks.push(text);
            }
            return sink.write(text);
        },
        async finish(finishReason, tokens) {
            const answer: StoredAnswer = { kind: "generation", text: chunks.join(""), finishReason, tokens, ranModel };
            await hooks.finish(chars <= MAX_STORED_ANSWER_CHARS ? answer : undefined);
            await sink.finish(finishReason, tokens);
        },
        discard() {
            chunks.length = 0;
            chars = 0;
            sink.discard();
        },
        get started() {
            return sink.started;
        },
    };
}
