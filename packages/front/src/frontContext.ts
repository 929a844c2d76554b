import type { EngineControl, EngineTransport, MetadataStore } from "@fulmarcleat/directory";
import type { EnginePolicy } from "@fulmarcleat/dispatch";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import type { Clock, Incarnation, Random } from "@fulmarcleat/ids";
import type { Deployment, DeploymentBounds } from "@fulmarcleat/platform";

/** What the tasks of one process share. */
export interface FrontContext {
    readonly deployment: Deployment;
    /** How engines are chosen for generations. */
    readonly policy: EnginePolicy;
    /** The platform's limits as its settings file has them now. */
    readonly readBounds: () => DeploymentBounds;
    /** This run of the process. */
    readonly incarnation: Incarnation;
    readonly store: MetadataStore;
    readonly control: EngineControl;
    readonly transport: EngineTransport;
    readonly clock: Clock;
    readonly random: Random;
    readonly hash: Hasher;
    readonly log: EventLog;
    readonly metrics: Metrics;
}
