import { strictEqual, Then } from "@fulmarcleat/testing";
import { limitStep } from "./limitStep.js";

Then(/^limitStep of \[(\w+), ([\d.]+)\] gives (\d+)$/, (former: string, target: string, result: string) => {
    strictEqual(limitStep(former === "null" ? undefined : Number(former), Number(target)), Number(result));
});
