/** One request that an engine stand-in ran; times are in milliseconds of `performance.now()`. */
export interface EngineRun {
    readonly requestId: string;
    readonly instance: string;
    readonly prompt: string;
    readonly priority: number;
    readonly receivedAtMs: number;
    firstTokenAtMs: number | undefined;
    endedAtMs: number | undefined;
    tokens: number;
    /** How the run ended; undefined while it is running, "lost" if the engine restarted. */
    end: "finished" | "cancelled" | "lost" | undefined;
}

/** One order to load or unload an adapter instance. */
export interface EngineOrderRecord {
    readonly order: "load" | "unload";
    readonly instance: string;
    readonly fence: number;
    readonly atMs: number;
    readonly result: string;
    /** Number of requests that were running on the instance when it was unloaded. */
    readonly running: number;
}

/** Record of an engine stand-in, as `GET /record` returns it. */
export interface EngineRecord {
    readonly runs: readonly EngineRun[];
    readonly orders: readonly EngineOrderRecord[];
    /** Number of instances that were unloaded while requests ran on them. */
    readonly evictedInUse: number;
    /** Number of refused requests by code. */
    readonly refused: Readonly<Record<string, number>>;
    readonly batch: {
        readonly slots: number;
        readonly steps: number;
        readonly placesUsed: number;
        readonly stepsWithWaiting: number;
        readonly placesUsedWithWaiting: number;
    };
}
