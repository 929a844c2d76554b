/** A started program. */
export interface RunningProgram {
    /** Stops gracefully; resolves once all running work has finished. */
    stop(): Promise<void>;
    /** Describes the unfinished work that an immediate exit would abort. */
    describeUnfinished(): string;
}
