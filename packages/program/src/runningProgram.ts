/** A program's running part. */
export interface RunningProgram {
    /** Planned stop; resolves once nothing is left to finish. */
    stop(): Promise<void>;
    /** What a stop at its limit would cut off, in words. */
    describeUnfinished(): string;
}
