import type { Route, Service, ServingConfig } from "@fulmarcleat/directory";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { RequestId, ServiceName } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";
import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { planRequest } from "./planRequest.js";
import type { RequestPlan } from "./planRequest.js";

const HEAD = { hostName: "h", requestId: brandId<RequestId>("r1") } as ClientHead;

/** Terms of a configuration without accounts that was just confirmed. */
const NO_ACCOUNTS = { index: undefined, confirmedAgoMs: 0, maxConfirmedAgoMs: undefined };

let config: ServingConfig;
let plan: RequestPlan;
let allowed: readonly boolean[] = [];
let begunAt: readonly string[] = [];
let resumedAt: readonly string[] = [];

Given(
    "a configuration that splits the route {string} evenly between the services {string} and {string}",
    (pathPrefix: string, first: string, second: string) => {
        const services = [first, second].map(name => ({ name: brandId<ServiceName>(name) } as Service));
        const targets = services.map(({ name }) => ({ service: name, weight: 50 }));
        const route = { hostName: "h", pathPrefix, targets } as unknown as Route;
        config = {
            routes: [route],
            services: new Map(services.map(service => [service.name, service])),
        } as unknown as ServingConfig;
    },
);

Given("the weights become {int} to {int}", (first: number, second: number) => {
    const weights = [first, second];
    const routes = config.routes.map(route => ({
        ...route,
        targets: route.targets.map((target, at) => ({ ...target, weight: weights[at] ?? 0 })),
    }));
    config = { ...config, routes };
});

When("a stream that began at {string} is resumed {int} times", async (service: string, count: number) => {
    const hash = await createHasher();
    allowed = Array.from({ length: count }, (value, at) => {
        const ids = { requestId: brandId<RequestId>(`r${at}+`), resumedRequestId: brandId<RequestId>(`r${at}`) };
        const known = { config, isCurrent: () => true, ...NO_ACCOUNTS };
        const found = planRequest({ ...HEAD, ...ids, lastEventId: "1" }, "/answers/1", known, hash, undefined);
        const services = found.kind === "planned" ? [found.service, ...found.alternatives] : [];
        return services.some(({ name }) => name === service);
    });
});

Then(
    /^each plan allows that service: (yes|no)$/,
    (expected: string) => deepStrictEqual([...new Set(allowed)], [expected === "yes"]),
);

When(/^a request (.*) is planned$/, async (request: string) => {
    const head = request.startsWith("without an id") ? { ...HEAD, requestId: undefined } : HEAD;
    const path = request.startsWith("for another path") ? "/other/1" : "/answers/1";
    const known = {
        config: request === "without a configuration" ? undefined : config,
        isCurrent: () => !request.endsWith("by an old configuration"),
        ...NO_ACCOUNTS,
    };
    plan = planRequest(head, path, known, await createHasher(), undefined);
});

When("{int} streams are begun and resumed by their clients", async (count: number) => {
    const hash = await createHasher();
    const find = (head: ClientHead): string => {
        const found = planRequest(
            head,
            "/answers/1",
            { config, isCurrent: () => true, ...NO_ACCOUNTS },
            hash,
            undefined,
        );
        return found.kind === "planned" ? found.service.name : found.reason;
    };
    const ids = Array.from({ length: count }, (value, at) => brandId<RequestId>(`r${at}`));
    begunAt = ids.map(requestId => find({ ...HEAD, requestId }));
    resumedAt = ids.map(id => find({ ...HEAD, requestId: brandId(`${id}+`), resumedRequestId: id, lastEventId: "1" }));
});

Then("the plan is {string}", (expected: string) => {
    strictEqual(plan.kind === "planned" ? plan.kind : `${plan.status} ${plan.reason}`, expected);
});

Then("each stream is resumed at the service that began it", () => {
    strictEqual(new Set(begunAt).size, 2);
    deepStrictEqual(resumedAt, begunAt);
});
