/** Readings of a host's clocks at one moment. */
export interface ClockReading {
    /** Monotonic time in milliseconds; it may stand still while the host is suspended. */
    readonly nowMs: number;
    /** Wall time in milliseconds. */
    readonly wallMs: number;
}
