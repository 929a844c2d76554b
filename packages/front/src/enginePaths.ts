import type { EngineEntry } from "@fulmarcleat/directory";
import type { EngineId, HostId, ServiceName } from "@fulmarcleat/ids";
import type { Member } from "./hostKeys.js";

/** What this host knows of its paths to engines, compared with what other hosts reach. */
export interface EnginePaths {
    /** Records that a request was sent to an engine. */
    recordSend(entry: EngineEntry): void;
    /** Records bytes from an engine. */
    recordBytes(entry: EngineEntry): void;
    /** Records that a request at an engine ended: without a connection, broken without a byte, or in another way. */
    recordEnd(entry: EngineEntry, end: "broken" | "other" | "unsent"): void;
    /** Whether this host gets nothing from an engine while other hosts do. */
    isPathLost(engine: EngineId): boolean;
    /** Whether this host gets nothing from an engine of a service. */
    hasSuspect(service: ServiceName): boolean;
    /** Whether this host gets nothing from any engine of a service. */
    isServiceSilent(service: ServiceName): boolean;
    /** Finds another host that hears from engines of a service; undefined if none is known. */
    findHelper(service: ServiceName, excluded: ReadonlySet<EngineId | HostId>): Promise<Member | undefined>;
    /** Whether other hosts reach an engine: they have had bytes since a clock reading, in milliseconds, or a probe does. */
    isReachedByOthers(engine: EngineId, sinceMs: number): Promise<boolean>;
}

/** Paths of a host that compares nothing with other hosts: none is lost, and no other host reaches an engine. */
export const NO_LOST_PATHS: EnginePaths = {
    recordSend: () => undefined,
    recordBytes: () => undefined,
    recordEnd: () => undefined,
    isPathLost: () => false,
    hasSuspect: () => false,
    isServiceSilent: () => false,
    findHelper: () => Promise.resolve(undefined),
    isReachedByOthers: () => Promise.resolve(false),
};
