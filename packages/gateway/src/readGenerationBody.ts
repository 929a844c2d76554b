import type { EngineInput, Sampling } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import { z } from "zod";

/** API endpoint of a request: text completions or chat completions. */
export type GenerationKind = "completion" | "chat";

/** The validated body of a request for generated text. */
export interface GenerationBody {
    readonly model: string;
    readonly input: EngineInput;
    readonly sampling: Sampling;
    readonly maxTokens: number;
    readonly stream: boolean;
}

/** Highest `max_tokens` that a request may set. */
const MAX_TOKENS = 131_072;
/** Value of `max_tokens` if the request sets none. */
const DEFAULT_MAX_TOKENS = 256;

const maxTokensSchema = z.int().min(1).max(MAX_TOKENS);
const commonFields = {
    model: z.string().min(1).max(300),
    max_tokens: maxTokensSchema.nullish(),
    stream: z.boolean().nullish(),
    temperature: z.number().min(0).max(2).nullish(),
    top_p: z.number().min(0).max(1).nullish(),
    seed: z.int().nullish(),
    stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
    n: z.literal(1).nullish(),
    best_of: z.literal(1).nullish(),
    echo: z.literal(false).nullish(),
    logprobs: z.literal(false).nullish(),
    suffix: z.null().optional(),
    tools: z.array(z.never()).nullish(),
    response_format: z.object({ type: z.literal("text") }).nullish(),
};
const textPart = z.object({ type: z.literal("text"), text: z.string() });
const completionSchema = z.looseObject({
    ...commonFields,
    prompt: z.union([z.string(), z.array(z.string()).length(1).transform(list => list[0] ?? "")]),
});
const chatSchema = z.looseObject({
    ...commonFields,
    max_completion_tokens: maxTokensSchema.nullish(),
    messages: z.array(z.object({
        role: z.enum(["system", "developer", "user", "assistant"]),
        content: z.union([z.string(), z.array(textPart).transform(parts => parts.map(part => part.text).join(""))]),
    })).min(1).max(10_000),
});

/**
 * Validates the JSON body of a request for generated text.
 *
 * @param kind - Endpoint that received the request
 * @param body - Parsed JSON of the request body
 * @returns the body's supported fields, with defaults applied
 * @throws ServeError `bad_request` naming the first invalid field
 *
 * @example
 * const body = readGenerationBody("chat", JSON.parse(text));
 */
export function readGenerationBody(kind: GenerationKind, body: unknown): GenerationBody {
    switch (kind) {
        case "completion": {
            const parsed = parseBody(completionSchema, body);
            return {
                ...readCommon(parsed),
                input: { kind: "text", prompt: parsed.prompt },
                maxTokens: parsed.max_tokens ?? DEFAULT_MAX_TOKENS,
            };
        }
        case "chat": {
            const parsed = parseBody(chatSchema, body);
            const limit = parsed.max_completion_tokens ?? parsed.max_tokens ?? DEFAULT_MAX_TOKENS;
            return { ...readCommon(parsed), input: { kind: "chat", messages: parsed.messages }, maxTokens: limit };
        }
    }
}

function parseBody<T>(schema: z.ZodType<T>, body: unknown): T {
    const result = schema.safeParse(body);
    if (result.success) {
        return result.data;
    }
    const [issue] = result.error.issues;
    const field = issue === undefined || issue.path.length === 0 ? "body" : issue.path.join(".");
    const details = { code: "bad_request", step: "read body", peer: "caller", outcome: "not_run" } as const;
    throw new ServeError(`${field}: ${issue?.message ?? "not allowed"}`, details);
}

/** Fields that both endpoints read in the same way. */
interface CommonFields {
    readonly model: string;
    readonly stream?: boolean | null | undefined;
    readonly temperature?: number | null | undefined;
    readonly top_p?: number | null | undefined;
    readonly seed?: number | null | undefined;
    readonly stop?: string | string[] | null | undefined;
}

function readCommon(parsed: CommonFields): Pick<GenerationBody, "model" | "stream" | "sampling"> {
    const stop = typeof parsed.stop === "string" ? [parsed.stop] : parsed.stop ?? undefined;
    return {
        model: parsed.model,
        stream: parsed.stream ?? false,
        sampling: {
            temperature: parsed.temperature ?? undefined,
            topP: parsed.top_p ?? undefined,
            seed: parsed.seed ?? undefined,
            stop,
        },
    };
}
