/** One run on an engine, as its stand-in saw it. */
export interface EngineRun {
    readonly requestId: string;
    readonly instance: string;
    readonly prompt: string;
    readonly priority: number;
    readonly receivedAtMs: number;
    firstTokenAtMs: number | undefined;
    endedAtMs: number | undefined;
    tokens: number;
    end: "finished" | "cancelled" | "lost" | undefined;
}

/** One order to an engine. */
export interface EngineOrderRecord {
    readonly order: "load" | "unload";
    readonly instance: string;
    readonly fence: number;
    readonly atMs: number;
    readonly result: string;
    /** Requests that ran on the instance when it was unloaded. */
    readonly running: number;
}

/** What an engine's stand-in saw. */
export interface EngineRecord {
    readonly runs: readonly EngineRun[];
    readonly orders: readonly EngineOrderRecord[];
    readonly evictedInUse: number;
    readonly refused: Readonly<Record<string, number>>;
    readonly batch: {
        readonly slots: number;
        readonly steps: number;
        readonly placesUsed: number;
        readonly stepsWithWaiting: number;
        readonly placesUsedWithWaiting: number;
    };
}
