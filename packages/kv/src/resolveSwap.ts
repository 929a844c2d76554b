import type { KvEntry, KvSwapResult } from "@fulmarcleat/drivers";
import type { KvOutcome } from "./kvOutcome.js";

/** Result of one attempt at a compare-and-swap. */
export type SwapAttempt =
    | { readonly kind: "answered"; readonly result: KvSwapResult }
    /** No connection could be opened. */
    | { readonly kind: "unsent" }
    /** The request was sent and no answer came. */
    | { readonly kind: "lost" };

/** A write and the result of its past attempts. */
export interface SwapView {
    readonly value: string;
    /** Whether a value contains this write, even if later writes were added to it. */
    readonly isOwn: (value: string) => boolean;
    /** Whether an earlier attempt was sent and got no answer. */
    readonly wasLost: boolean;
}

/** A final result, or `undecided` if the same compare-and-swap must be repeated. */
export type SwapResolution = KvOutcome | { readonly kind: "undecided" };

/**
 * Determines the result of a write from one attempt.
 *
 * Repeating the identical compare-and-swap is safe, because it can never be applied twice.
 *
 * @param attempt - Result of the attempt
 * @param view - The write and whether an earlier attempt got no answer
 * @returns the final result, or that the attempt must be repeated
 *
 * @example
 * const resolution = resolveSwap({ kind: "lost" }, view); // { kind: "undecided" }
 */
export function resolveSwap(attempt: SwapAttempt, view: SwapView): SwapResolution {
    switch (attempt.kind) {
        case "answered":
            return resolveAnswer(attempt.result, view);
        case "unsent":
            return view.wasLost ? { kind: "undecided" } : { kind: "unavailable" };
        case "lost":
            return { kind: "undecided" };
    }
}

function resolveAnswer(result: KvSwapResult, view: SwapView): KvOutcome {
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
