/** A started program. */
export interface RunningProgram {
    /** Stops gracefully; resolves once all running work has finished. */
    stop(): Promise<void>;
    /** Returns the time limit of a stop that begins now, in milliseconds; undefined if it is the one of the start. */
    readStopLimitMs?(): number;
    /** Describes the unfinished work that an immediate exit would abort. */
    describeUnfinished(): string;
}
