import type { EngineId } from "@fulmarcleat/ids";

/** What this host knows of its paths to engines, compared with what other hosts reach. */
export interface EnginePaths {
    /** Whether this host gets nothing from an engine while other hosts do. */
    isPathLost(engine: EngineId): boolean;
    /** Asks other hosts whether they have had bytes from an engine since a clock reading of this host, in milliseconds. */
    isReachedByOthers(engine: EngineId, sinceMs: number): Promise<boolean>;
}

/** Paths of a host that compares nothing with other hosts: none is lost, and no other host reaches an engine. */
export const NO_LOST_PATHS: EnginePaths = {
    isPathLost: () => false,
    isReachedByOthers: () => Promise.resolve(false),
};
