import { FLEET_BASE_MODEL, startFleet } from "@fulmarcleat/fleet";
import type { Fleet, FleetOptions } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { After, setDefaultTimeout, setWorldConstructor, World } from "@fulmarcleat/testing";

/** Time limit of a step, in milliseconds. */
const STEP_TIMEOUT_MS = 60_000;

/** Holds the answer that a caller received. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
}

/** Holds the fleet and the callers' answers of one scenario. */
export class FleetWorld extends World {
    private runningFleet: Fleet | undefined;
    answers: CallerAnswer[] = [];

    /** The running fleet; throws if none was started. */
    get fleet(): Fleet {
        if (this.runningFleet === undefined) {
            throw new Error("no fleet was started in this scenario");
        }
        return this.runningFleet;
    }

    /** Starts the scenario's fleet. */
    async start(options: FleetOptions): Promise<void> {
        this.runningFleet = await startFleet(options);
    }

    /** Stops the scenario's fleet, if one is running. */
    async stop(): Promise<void> {
        await this.runningFleet?.stop();
        this.runningFleet = undefined;
    }

    /** Formats the bearer key of a caller. */
    formatCallerKey(caller: string): string {
        return `key-of-${caller}`;
    }

    /** Applies an adapter, a caller and an offer of the adapter to that caller. */
    async offerAdapter(
        adapter: string,
        versions: readonly string[],
        caller: string,
        priority: string,
        defaultVersion?: string,
    ): Promise<void> {
        await this.fleet.apply([
            {
                kind: "Adapter",
                metadata: { name: adapter },
                spec: {
                    baseModel: FLEET_BASE_MODEL,
                    versions: versions.map(version => ({ version, weights: `${adapter}/${version}` })),
                },
            },
            {
                kind: "Caller",
                metadata: { name: caller },
                spec: { keyHashes: [hashSecret(this.formatCallerKey(caller))] },
            },
            {
                kind: "Offer",
                metadata: { name: `${adapter}-${caller}` },
                spec: { adapter, versions, defaultVersion, callers: [caller], priority },
            },
        ]);
    }

    /** Sends one HTTP request to a gateway, counted from 1, and appends the answer to `answers`. */
    async call(gateway: number, path: string, init: RequestInit): Promise<CallerAnswer> {
        const url = this.fleet.gateways[gateway - 1]?.url;
        const res = await fetch(`${url}${path}`, init);
        const answer = { status: res.status, headers: res.headers, text: await res.text() };
        this.answers.push(answer);
        return answer;
    }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(FleetWorld);
After(async function(this: FleetWorld) {
    await this.stop();
});
