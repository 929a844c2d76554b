import type { Route, Service, ServingConfig } from "@fulmarcleat/directory";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { RequestId, ServiceName } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { planRequest } from "./planRequest.js";
import type { RequestPlan } from "./planRequest.js";

const HEAD = { hostName: "h", requestId: brandId<RequestId>("r1") } as ClientHead;

let config: ServingConfig;
let plan: RequestPlan;

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

When(/^a request (.*) is planned$/, async (request: string) => {
    const head = request === "without an id" ? { ...HEAD, requestId: undefined } : HEAD;
    const path = request === "for another path" ? "/other/1" : "/answers/1";
    plan = planRequest(head, path, request === "without a configuration" ? undefined : config, await createHasher());
});

Then("the plan is {string}", (expected: string) => {
    strictEqual(plan.kind === "planned" ? plan.kind : `${plan.status} ${plan.reason}`, expected);
});
