import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { createRequestDigester } from "./createRequestDigester.js";
import type { RequestContent } from "./createRequestDigester.js";

Then(
    /^digests of (.*) and of (.*) with key (\w+) are (equal|different)$/,
    (first: string, second: string, key: string, result: string) => {
        const firstDigest = createRequestDigester(() => "k1")(parseContent(first));
        const secondDigest = createRequestDigester(() => key)(parseContent(second));
        ok(firstDigest !== undefined && secondDigest !== undefined);
        strictEqual(firstDigest === secondDigest ? "equal" : "different", result);
    },
);

Then("without a key there is no digest", () => {
    strictEqual(createRequestDigester(() => undefined)(parseContent('GET a.example / ""')), undefined);
});

function parseContent(text: string): RequestContent {
    const [method = "", hostName = "", path = "", body = ""] = text.split(" ");
    return { method, hostName, path, body: Buffer.from(body) };
}
