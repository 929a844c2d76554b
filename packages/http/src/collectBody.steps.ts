import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { Readable } from "node:stream";
import { BodyTooLargeError, collectBody } from "./collectBody.js";

let body: Readable;
let result = "";
let readBytes = 0;

function* produce(bytes: number, chunk: number): Generator<Buffer> {
    for (let left = bytes; left > 0; left -= chunk) {
        yield Buffer.alloc(Math.min(chunk, left));
    }
}

Given(/^a body of (\d+|Infinity) bytes in chunks of (\d+)$/, (bytes: string, chunk: string) => {
    body = Readable.from(produce(Number(bytes), Number(chunk)));
    readBytes = 0;
});

When("it is collected with at most {int} bytes", async (most: number) => {
    const collected = collectBody(body, most, chunk => void (readBytes += chunk.length));
    result = await collected.then(
        ({ length }) => `${length} bytes`,
        (err: unknown) => err instanceof BodyTooLargeError ? "too large" : String(err),
    );
});

Then("the result is {string}, after at most {int} bytes, and the body is closed", (expected: string, most: number) => {
    strictEqual(result, expected);
    ok(readBytes <= most, `${readBytes} bytes`);
    ok(body.destroyed);
});
