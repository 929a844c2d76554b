/** Longest time after its first event for which a stream may be resumed, in milliseconds. */
export const RESUMABLE_MS = 30_000;
