import { FLEET_BASE_MODEL, startFleet } from "@fulmarcleat/fleet";
import type { Fleet, FleetOptions } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { After, setDefaultTimeout, setWorldConstructor, World } from "@fulmarcleat/testing";

const STEP_LIMIT_MS = 60_000;

/** What a caller got back. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
}

/** The fleet and the answers of one scenario. */
export class FleetWorld extends World {
    private running: Fleet | undefined;
    answers: CallerAnswer[] = [];

    /** The running fleet. */
    get fleet(): Fleet {
        if (this.running === undefined) {
            throw new Error("no fleet is running");
        }
        return this.running;
    }

    async start(options: FleetOptions): Promise<void> {
        this.running = await startFleet(options);
    }

    async stop(): Promise<void> {
        await this.running?.stop();
        this.running = undefined;
    }

    /** The bearer key of a caller in tests. */
    keyOf(caller: string): string {
        return `key-of-${caller}`;
    }

    /** Offers an adapter to one caller. */
    async offer(
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
            { kind: "Caller", metadata: { name: caller }, spec: { keyHashes: [hashSecret(this.keyOf(caller))] } },
            {
                kind: "Offer",
                metadata: { name: `${adapter}-${caller}` },
                spec: { adapter, versions, defaultVersion, callers: [caller], priority },
            },
        ]);
    }

    /** Sends one HTTP request to a gateway, counted from 1. */
    async call(gateway: number, path: string, init: RequestInit): Promise<CallerAnswer> {
        const url = this.fleet.gateways[gateway - 1]?.url;
        const res = await fetch(`${url}${path}`, init);
        const answer = { status: res.status, headers: res.headers, text: await res.text() };
        this.answers.push(answer);
        return answer;
    }
}

setDefaultTimeout(STEP_LIMIT_MS);
setWorldConstructor(FleetWorld);
After(async function(this: FleetWorld) {
    await this.stop();
});
