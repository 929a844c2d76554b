/** What the weight store knows of one set of weights. */
export interface WeightsInfo {
    readonly sizeBytes: number;
}

/** The platform's weight store; engines fetch from it, the system only asks what is there. */
export interface WeightStoreDriver {
    describe(weights: string): Promise<WeightsInfo | undefined>;
    close(): Promise<void>;
}
