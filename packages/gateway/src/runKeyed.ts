import { ServeError, toServeError } from "@fulmarcleat/errors";
import { createId } from "@fulmarcleat/ids";
import type { Nonce } from "@fulmarcleat/ids";
import type { KeptAnswer } from "@fulmarcleat/wire";
import { readClaimReply } from "./readClaimReply.js";
import type { KeyedClaims, KeyedNeed } from "./startClaimTask.js";

/** What the run of a keyed request may call. */
export interface KeyedHooks {
    /** Commits the right to run; throws where the request may not run. */
    claim(): Promise<void>;
    /** Reports the whole answer, before the caller can repeat the request. */
    finish(answer: KeptAnswer | undefined): Promise<void>;
}

/** Whether the request ran now, or its first answer is given again. */
export type KeyedResult =
    | { readonly kind: "ran" }
    | { readonly kind: "replay"; readonly answer: KeptAnswer };

/**
 * Runs a keyed request at most once and reports how it ended.
 *
 * @param claims - Claims of keys
 * @param need - Key and request
 * @param run - Runs the request; it must claim before anything is sent
 * @returns whether it ran, or the first answer of its key
 * @throws ServeError with the request's true outcome
 *
 * @example
 * const result = await runKeyed(claims, need, hooks => runGeneration(generation, sink, hooks));
 */
export async function runKeyed(
    claims: KeyedClaims,
    need: KeyedNeed,
    run: (hooks: KeyedHooks) => Promise<void>,
): Promise<KeyedResult> {
    const nonce = createId<Nonce>();
    let isClaimed = false;
    let isEnded = false;
    let replay: KeptAnswer | undefined;
    const ask = async (mode: "look" | "claim"): Promise<void> => {
        const reply = await claims.ask(mode, need, nonce);
        replay = reply.kind === "replay" ? reply.answer : undefined;
        isClaimed = reply.kind === "granted";
        const failure = readClaimReply(reply);
        if (failure !== undefined) {
            throw new ServeError(failure.message, failure.details);
        }
    };
    const end = async (outcome: "ran" | "not_run" | "unknown", answer: KeptAnswer | undefined): Promise<void> => {
        if (isClaimed && !isEnded) {
            isEnded = true;
            await claims.end(need, nonce, outcome, answer);
        }
    };
    try {
        await ask("look");
        await run({ claim: () => ask("claim"), finish: answer => end("ran", answer) });
        await end("ran", undefined);
        return { kind: "ran" };
    }
    catch (err) {
        if (replay !== undefined) {
            return { kind: "replay", answer: replay };
        }
        const failure = toServeError(err, { code: "internal", step: "run", peer: "self", outcome: "unknown" });
        await end(failure.outcome, undefined);
        throw failure;
    }
}
