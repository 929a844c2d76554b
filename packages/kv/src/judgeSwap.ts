import type { KvEntry, KvSwapResult } from "@fulmarcleat/drivers";
import type { KvOutcome } from "./kvOutcome.js";

/** What one attempt at a compare-and-swap gave. */
export type SwapAttempt =
    | { readonly kind: "answered"; readonly result: KvSwapResult }
    /** No connection could be opened. */
    | { readonly kind: "unsent" }
    /** It was sent and no answer came. */
    | { readonly kind: "lost" };

/** A write and its past attempts. */
export interface SwapView {
    readonly value: string;
    /** Whether a value holds this very write, also beneath later ones. */
    readonly isOwn: (value: string) => boolean;
    /** Whether an earlier attempt was sent without an answer. */
    readonly wasLost: boolean;
}

/** An outcome, or `undecided` where the same compare-and-swap is to be repeated. */
export type SwapVerdict = KvOutcome | { readonly kind: "undecided" };

/**
 * Judges one attempt at a write; repeating the identical compare-and-swap can never apply it twice.
 *
 * @param attempt - What the attempt gave
 * @param view - The write and its past attempts
 * @returns the outcome, or that the attempt must be repeated
 *
 * @example
 * const verdict = judgeSwap({ kind: "lost" }, view); // { kind: "undecided" }
 */
export function judgeSwap(attempt: SwapAttempt, view: SwapView): SwapVerdict {
    switch (attempt.kind) {
        case "answered":
            return judgeAnswer(attempt.result, view);
        case "unsent":
            return view.wasLost ? { kind: "undecided" } : { kind: "unavailable" };
        case "lost":
            return { kind: "undecided" };
    }
}

function judgeAnswer(result: KvSwapResult, view: SwapView): KvOutcome {
    switch (result.kind) {
        case "applied":
            return { kind: "applied", entry: { value: view.value, revision: result.revision } };
        case "conflict":
            return isOwnEntry(result.current, view)
                ? { kind: "applied", entry: result.current }
                : { kind: "refused", current: result.current };
    }
}

function isOwnEntry(entry: KvEntry | undefined, view: SwapView): entry is KvEntry {
    return entry !== undefined && view.isOwn(entry.value);
}
