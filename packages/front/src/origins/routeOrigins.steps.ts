import { pickTarget } from "@fulmarcleat/dispatch";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { StreamOrigin } from "@fulmarcleat/wire";
import type { StreamOrigins } from "../createStreamOrigins.js";
import { originFleet } from "../createStreamOrigins.steps.js";
import type { OriginRoute } from "./createRuleBook.js";
import { parseRule, parseServices } from "./parseRule.steps.js";

const ROUTE_NAME = "answers";
const VERSIONS = [brandId<SoftwareVersion>("v1"), brandId<SoftwareVersion>("v2")] as const;
/** Time in which a client's question is answered, in milliseconds; a read of the store may have to wait for its turn. */
const FIND_MS = 2400;
const STEP_MS = 20;

let route: OriginRoute;
/** Where the streams began whose clients have received an event. */
let begunAt: Map<RequestId, StreamOrigin> = new Map();
let found: readonly { readonly id: RequestId; readonly origin: StreamOrigin | undefined }[] = [];
let ruleRevision = 0;
let heldMs = 0;
let restoreCopy: (() => void) | undefined;

Given("the route leads to {string} by the rules {string} on record", (targets: string, rules: string) => {
    const { addEngine, originRules, setRoute } = originFleet;
    route = { name: ROUTE_NAME, targets: parseServices(targets) };
    setRoute(route);
    route.targets.filter(({ service }) => service !== "models").forEach(({ service }) =>
        addEngine(service, VERSIONS[0])
    );
    originRules.clear();
    if (rules !== "none") {
        originRules.set(route.name, { revision: ruleRevision += 1, rules: rules.split(" / ").map(parseRule) });
    }
});

Given("{int} streams begin", async (count: number) => {
    const hash = await createHasher();
    const hosts = [...originFleet.hosts.values()];
    const ids = Array.from({ length: count }, (value, at) => brandId<RequestId>(`split-${at}`));
    begunAt = new Map(ids.map(id => {
        const service = pickTarget(hash, route.targets, id) ?? brandId<ServiceName>("none");
        return [id, { service, softwareVersion: VERSIONS[0] }];
    }));
    [...begunAt].forEach(([requestId, origin], at) =>
        void hosts[at % hosts.length]?.record({ requestId, ...origin }, { route, mayBeginAnew: true })
    );
});

Given(/^the store is (silent|rejecting|serving)(, a copy of before follows)?$/, (mode: string, copy: string | null) => {
    originFleet.store.setMode(mode as "serving");
    if (copy !== null) {
        restoreCopy = originFleet.store.copy();
    }
});

/** Begins a stream as a host does: at any engine, or where the host says, and anew if its record isn't stored. */
async function beginStream(host: StreamOrigins, requestId: RequestId, at: number): Promise<void> {
    const { clock } = originFleet;
    const service = brandId<ServiceName>("models");
    for (let tries = 0; tries < 2; tries += 1) {
        const required = host.findRequired(requestId, route, service);
        const origin = required ?? { service, softwareVersion: VERSIONS[at % VERSIONS.length] };
        const sinceMs = clock.nowMs();
        const maySend = await host.record({ requestId, ...origin }, { route, mayBeginAnew: true }) ?? true;
        heldMs += clock.nowMs() - sinceMs;
        if (maySend) {
            begunAt.set(requestId, origin);
            return;
        }
    }
}

Given("{int} streams begin at engines of both versions, {int} ms apart", async (count: number, apartMs: number) => {
    const hosts = [...originFleet.hosts.values()].slice(0, 6);
    begunAt = new Map();
    heldMs = 0;
    const begun: Promise<void>[] = [];
    for (const [at, host] of Array.from({ length: count }, (value, number) => hosts[number % hosts.length]).entries()) {
        if (host !== undefined) {
            begun.push(beginStream(host, brandId(`mixed-${at}`), at));
        }
        if (at * apartMs % STEP_MS === 0) {
            await originFleet.advance(STEP_MS);
        }
    }
    await originFleet.advance(1200);
    await Promise.all(begun);
    deepStrictEqual(begunAt.size, count);
});

Given("{int} ms pass, and all hosts lose power", async (ms: number) => {
    await originFleet.advance(ms);
    await originFleet.losePower();
    restoreCopy?.();
    restoreCopy = undefined;
});

When("the clients resume these streams at every other host", async () => {
    const asked = [...originFleet.hosts.values()].slice(1, 6);
    const origins = Promise.all(
        [...begunAt.keys()].flatMap(id => asked.map(async host => ({ id, origin: await host.find(id, route) }))),
    );
    await originFleet.advance(FIND_MS);
    found = await origins;
});

Then("at least {int} in 100 are known, each where it began", (least: number) => {
    const known = found.filter(({ origin }) => origin !== undefined);
    known.forEach(({ id, origin }) => deepStrictEqual(origin, begunAt.get(id)));
    ok(100 * known.length >= least * found.length, `${known.length} of ${found.length}`);
});

Then("the events were held for at most {int} ms in all", (most: number) => ok(heldMs <= most, `held for ${heldMs} ms`));

Given("the store doesn't answer the hosts", () => originFleet.setStoreAvailable(false));

Then("streams of the service {string} have to begin at {string}", (service: string, expected: string) => {
    const [host] = originFleet.hosts.values();
    const required = Array.from(
        { length: 50 },
        (value, at) => host?.findRequired(brandId(`any-${at}`), route, brandId(service)),
    );
    const versions = new Set(
        required.map(origin => origin === undefined ? "anywhere" : String(origin.softwareVersion)),
    );
    strictEqual([...versions].sort().join(" "), expected);
});
