import { runDemo } from "@fulmarcleat/demo";
import { deepStrictEqual, Then } from "@fulmarcleat/testing";
import { fileURLToPath } from "node:url";

Then("the demo of {string} completes without a failure", async (file: string) => {
    const resourcesFile = fileURLToPath(new URL(`../${file}`, import.meta.url));
    const demo = await runDemo({ resourcesFile, print: () => undefined });
    await demo.stop();
    deepStrictEqual(demo.failures, []);
});
