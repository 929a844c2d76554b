/** Cancels a timer that has not fired. */
export type CancelTimer = () => void;

/** Source of time and timers; injected so that tests can control them. */
export interface Clock {
    /** Wall time in milliseconds since the epoch. */
    wallMs(): number;
    /** Monotonic time in milliseconds since an arbitrary start. */
    nowMs(): number;
    /** Calls `fire` once after `delayMs` milliseconds; returns a function that cancels the timer. */
    setTimer(delayMs: number, fire: () => void): CancelTimer;
}
