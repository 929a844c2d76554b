import { setTimeout as wait } from "node:timers/promises";

/** One request that an engine stand-in runs. */
export interface EngineJob {
    readonly requestId: string;
    readonly instance: string;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly maxTokens: number;
    /** Called for each token, in order; `index` counts from 0. */
    readonly onToken: (index: number, isLast: boolean) => void;
}

/** Utilization of a batch, in steps and batch slots. */
export interface BatchCounts {
    readonly steps: number;
    /** Batch slots in use, summed over the steps. */
    readonly placesUsed: number;
    /** Steps in which jobs waited because every slot was in use. */
    readonly stepsWithWaiting: number;
    /** Batch slots in use, summed over the steps with waiting jobs. */
    readonly placesUsedWithWaiting: number;
}

/** A continuous batch: each step produces one token for each of the most urgent jobs, up to the number of slots. */
export interface EngineBatch {
    add(job: EngineJob): void;
    remove(requestId: string): boolean;
    countRunning(instance: string): number;
    readonly running: number;
    readonly waiting: number;
    counts(): BatchCounts;
    /** Removes every job. */
    clear(): void;
}

/** Size and speed of a batch. */
export interface EngineBatchOptions {
    readonly slots: number;
    /** Duration of one step, in milliseconds. */
    readonly stepMs: number;
}

interface ActiveJob {
    readonly job: EngineJob;
    readonly order: number;
    nextIndex: number;
}

/**
 * Creates an empty batch that runs steps while it contains jobs.
 *
 * @param options - Number of slots and duration of a step
 * @returns the batch
 *
 * @example
 * const batch = createEngineBatch({ slots: 16, stepMs: 5 });
 */
export function createEngineBatch(options: EngineBatchOptions): EngineBatch {
    const active = new Map<string, ActiveJob>();
    const counts = { steps: 0, placesUsed: 0, stepsWithWaiting: 0, placesUsedWithWaiting: 0 };
    let order = 0;
    let isStepping = false;
    const runStep = (): void => {
        const chosen = chooseJobs([...active.values()], options.slots);
        counts.steps += 1;
        counts.placesUsed += chosen.length;
        if (active.size > chosen.length) {
            counts.stepsWithWaiting += 1;
            counts.placesUsedWithWaiting += chosen.length;
        }
        for (const entry of chosen) {
            const index = entry.nextIndex;
            const isLast = index + 1 >= entry.job.maxTokens;
            entry.nextIndex += 1;
            if (isLast) {
                active.delete(entry.job.requestId);
            }
            entry.job.onToken(index, isLast);
        }
    };
    const runSteps = async (): Promise<void> => {
        isStepping = true;
        let nextMs = performance.now();
        while (active.size > 0) {
            nextMs = Math.max(nextMs + options.stepMs, performance.now() - options.stepMs);
            await wait(Math.max(0, nextMs - performance.now()));
            runStep();
        }
        isStepping = false;
    };
    return {
        add(job) {
            order += 1;
            active.set(job.requestId, { job, order, nextIndex: 0 });
            if (!isStepping) {
                void runSteps();
            }
        },
        remove: requestId => active.delete(requestId),
        countRunning: instance => [...active.values()].filter(entry => entry.job.instance === instance).length,
        get running() {
            return Math.min(active.size, options.slots);
        },
        get waiting() {
            return Math.max(0, active.size - options.slots);
        },
        counts: () => ({ ...counts }),
        clear: () => active.clear(),
    };
}

function chooseJobs(jobs: readonly ActiveJob[], slots: number): readonly ActiveJob[] {
    if (jobs.length <= slots) {
        return jobs;
    }
    return [...jobs].sort((a, b) => a.job.priority - b.job.priority || a.order - b.order).slice(0, slots);
}
