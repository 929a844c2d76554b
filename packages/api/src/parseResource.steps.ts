import { fc, ok, registerTable, Then } from "@fulmarcleat/testing";
import { parseResource } from "./parseResource.js";

registerTable("parseResource", parseResource);

Then("parseResource returns a result for any JSON value", () => {
    fc.assert(fc.property(fc.jsonValue(), value => {
        ok(["valid", "invalid"].includes(parseResource(value, { kind: "Offer", name: "a" }).kind));
    }));
});
