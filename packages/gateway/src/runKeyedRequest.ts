import { ServeError, toServeError } from "@fulmarcleat/errors";
import { createId } from "@fulmarcleat/ids";
import type { Nonce } from "@fulmarcleat/ids";
import type { StoredAnswer } from "@fulmarcleat/wire";
import type { KeyedClaims, KeyedRequest } from "./startClaimTask.js";
import { toClaimFailure } from "./toClaimFailure.js";

/** Callbacks for the run of a keyed request. */
export interface KeyedHooks {
    /** Claims the key; throws ServeError if the request may not run. */
    claim(): Promise<void>;
    /** Reports the complete answer; call it before the answer's end is sent, so that a repeat finds it. */
    finish(answer: StoredAnswer | undefined): Promise<void>;
}

/** Whether the request ran, or the stored answer of its key is to be sent again. */
export type KeyedResult =
    | { readonly kind: "ran" }
    | { readonly kind: "replay"; readonly answer: StoredAnswer };

/**
 * Runs a keyed request at most once and reports its outcome to the key's partition.
 *
 * @param claims - Sends claims and their outcomes to the partition's owner
 * @param request - Caller, key, hash and deadline of the request
 * @param run - Runs the request; it must call `claim` before it sends anything
 * @returns that the request ran, or the stored answer of its key
 * @throws ServeError with the outcome of the request
 *
 * @example
 * const result = await runKeyedRequest(claims, request, hooks => runGeneration(generation, sink, hooks));
 */
export async function runKeyedRequest(
    claims: KeyedClaims,
    request: KeyedRequest,
    run: (hooks: KeyedHooks) => Promise<void>,
): Promise<KeyedResult> {
    const nonce = createId<Nonce>();
    let isClaimed = false;
    let isEnded = false;
    let replay: StoredAnswer | undefined;
    const requestClaim = async (mode: "look" | "claim"): Promise<void> => {
        const reply = await claims.request(mode, request, nonce);
        replay = reply.kind === "replay" ? reply.answer : undefined;
        isClaimed = reply.kind === "granted";
        const failure = toClaimFailure(reply);
        if (failure !== undefined) {
            throw new ServeError(failure.message, failure.details);
        }
    };
    const end = async (outcome: "ran" | "not_run" | "unknown", answer: StoredAnswer | undefined): Promise<void> => {
        if (isClaimed && !isEnded) {
            isEnded = true;
            await claims.end(request, nonce, outcome, answer);
        }
    };
    try {
        await requestClaim("look");
        await run({ claim: () => requestClaim("claim"), finish: answer => end("ran", answer) });
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
