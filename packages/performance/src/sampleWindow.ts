/** A duration at an engine, which learned speeds are quantiles of. */
export interface Sample {
    /** The duration, divided by the engine's slowdown at that time, in milliseconds. */
    readonly ms: number;
    /** Prompt tokens that the engine had to process in that time; 0 where they don't matter. */
    readonly tokens: number;
    readonly atMs: number;
}

/** The newest samples of one quantity, oldest first. */
export type SampleWindow = readonly Sample[];

/** How fast older samples lose weight; the slower of the two decays counts. */
export interface SampleDecay {
    /** Number of newer samples that halve the weight of one. */
    readonly halfLifeSamples: number;
    /** Age that halves the weight of a sample, in milliseconds. */
    readonly halfLifeMs: number;
}
