/** Cancels a timer that has not fired. */
export type CancelTimer = () => void;

/** Source of time; decisions take their time from here alone. */
export interface Clock {
    /** Wall time in milliseconds since the epoch. */
    wallMs(): number;
    /** Milliseconds since an arbitrary start; never runs backwards. */
    nowMs(): number;
    /** Calls `fire` once after `delayMs`. */
    setTimer(delayMs: number, fire: () => void): CancelTimer;
}
