/** Metadata of one adapter's weights in the weight store. */
export interface WeightsInfo {
    readonly sizeBytes: number;
}

/** Driver of the platform's weight store. Engines fetch the weights; this driver only reads their metadata. */
export interface WeightStoreDriver {
    /** Returns the metadata of the weights at a location; undefined if there are none. */
    describe(weights: string): Promise<WeightsInfo | undefined>;
    close(): Promise<void>;
}
