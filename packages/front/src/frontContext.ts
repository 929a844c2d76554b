import type { EngineControl, EngineTransport, MetadataStore } from "@fulmarcleat/directory";
import type { EnginePolicy } from "@fulmarcleat/dispatch";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import type { Clock, Incarnation, Random } from "@fulmarcleat/ids";
import type { Deployment, DeploymentBounds } from "@fulmarcleat/platform";

/** Dependencies that all tasks of one process share. */
export interface FrontContext {
    readonly deployment: Deployment;
    /** How engines are chosen for generation requests. */
    readonly policy: EnginePolicy;
    /** Returns the platform's limits as last read from the settings file. */
    readonly readBounds: () => DeploymentBounds;
    /** Identifies this run of the process. */
    readonly incarnation: Incarnation;
    /** The platform's metadata store. */
    readonly store: MetadataStore;
    /** Sends orders to engines and reads their reports. */
    readonly control: EngineControl;
    /** Sends client requests to engines. */
    readonly transport: EngineTransport;
    readonly clock: Clock;
    readonly random: Random;
    readonly hash: Hasher;
    readonly log: EventLog;
    readonly metrics: Metrics;
}
