import { strictEqual, Then } from "@fulmarcleat/testing";
import { countEventEnds } from "./countEventEnds.js";

Then(/^countEventEnds of the text (.*) is (\d+)$/, (text: string, count: string) => {
    strictEqual(countEventEnds(Buffer.from(JSON.parse(text) as string)), Number(count));
});
