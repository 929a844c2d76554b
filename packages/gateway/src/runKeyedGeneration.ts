import type { KeptAnswer } from "@fulmarcleat/wire";
import type { AnswerSink, Generation } from "./generation.js";
import { runGeneration } from "./runGeneration.js";
import type { GenerationContext } from "./runGeneration.js";
import { runKeyed } from "./runKeyed.js";
import type { KeyedHooks } from "./runKeyed.js";
import type { KeyedClaims } from "./startClaimTask.js";

/** What a keyed run needs besides. */
export interface KeyedGenerationContext extends Omit<GenerationContext, "claim"> {
    readonly claims: KeyedClaims;
    /** Makes the sink of an answer that the named model ran; `replayed` marks a first answer given again. */
    readonly createSink: (model: string, replayed: boolean) => AnswerSink;
}

const MAX_KEPT_CHARS = 262_144;

/**
 * Runs a keyed request for generated text at most once, or gives its first answer again.
 *
 * @param generation - The request
 * @param key - Its key
 * @param context - Claims, router and engines
 * @returns nothing, once the answer is whole
 * @throws ServeError with the request's true outcome
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
    const result = await runKeyed(
        context.claims,
        { caller, key, requestHash, requestId, deadlineMs },
        hooks =>
            runGeneration(generation, keepPieces(context.createSink(model, false), model, hooks), {
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
    answer: Extract<KeptAnswer, { kind: "generation" }>,
    context: KeyedGenerationContext,
): Promise<void> {
    const sink = context.createSink(answer.ranModel, true);
    await sink.write(answer.text);
    await sink.finish(answer.finishReason, answer.tokens);
}

function keepPieces(sink: AnswerSink, ranModel: string, hooks: KeyedHooks): AnswerSink {
    const pieces: string[] = [];
    let chars = 0;
    return {
        write(text) {
            chars += text.length;
            if (chars <= MAX_KEPT_CHARS) {
                pieces.push(text);
            }
            return sink.write(text);
        },
        async finish(finishReason, tokens) {
            const answer: KeptAnswer = { kind: "generation", text: pieces.join(""), finishReason, tokens, ranModel };
            await hooks.finish(chars <= MAX_KEPT_CHARS ? answer : undefined);
            await sink.finish(finishReason, tokens);
        },
        discard() {
            pieces.length = 0;
            chars = 0;
            sink.discard();
        },
        get started() {
            return sink.started;
        },
    };
}
