import { strictEqual, Then } from "@fulmarcleat/testing";
import { computeLinkBytes } from "./computeLinkBytes.js";

Then(/^computeLinkBytes of (\S+) in (\d+) ms is (\S+)$/, (mbps: string, ms: string, bytes: string) => {
    strictEqual(computeLinkBytes(mbps === "undefined" ? undefined : Number(mbps), Number(ms)), Number(bytes));
});
