import { createMetrics } from "@fulmarcleat/events";
import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { PeerClient } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import { createEngineLimits } from "./createEngineLimits.js";
import type { EngineLimits, SendPermit } from "./createEngineLimits.js";

const HOSTS = ["host-1", "host-2"].map(host => brandId<HostId>(host));
const ENTRY = { id: brandId<EngineId>("i-1"), bornMs: 1 } as never;
const HEAD = { instance: undefined, limit: { kind: "rate", perSecond: 1 } } as never;

let clock = createManualClock(0);
let limits: EngineLimits;
let held: SendPermit;
let asked = 0;
let lateMs = 0;

async function settle(ms: number): Promise<void> {
    clock.advance(ms);
    await setImmediate();
}

Given("a host that asks another one for a permit, whose reply arrives after {int} ms", async (late: number) => {
    clock = createManualClock(0);
    asked = 0;
    lateMs = late;
    const hash = await createHasher();
    const [granter, host] = rankByRendezvous(hash, "i-1", HOSTS);
    const members = new Map(HOSTS.map(name => [name, { host: name, ip: "10.0.0.1", port: 1, isLeaving: false }]));
    const request = (to: unknown, name: string): Promise<unknown> => {
        asked += name === "sendGrant" ? 1 : 0;
        return new Promise(resolve => clock.setTimer(lateMs, () => resolve({ kind: "granted", sendsAgoMs: [] })));
    };
    limits = createEngineLimits(
        {
            clock,
            hash,
            deployment: { host },
            log: { write: () => undefined },
            metrics: createMetrics(),
        } as never,
        { members, onEngineRemoved: () => undefined } as never,
        () => ({ request }) as unknown as PeerClient,
    );
    strictEqual(members.has(granter ?? brandId("")), true);
    limits.recordAnswer(ENTRY, HEAD, 0);
    const acquired = limits.acquire(ENTRY, 0);
    await settle(lateMs);
    held = await acquired;
});

When("it uses the permit {int} ms after the reply", async (afterMs: number) => {
    await settle(afterMs);
    const acquired = limits.acquire(ENTRY, 0, held);
    await settle(lateMs);
    await acquired;
});

Then(/^the granter has been asked (once|twice)$/, (times: string) => strictEqual(asked, times === "once" ? 1 : 2));
