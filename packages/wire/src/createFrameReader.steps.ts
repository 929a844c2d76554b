import { ServeError } from "@fulmarcleat/errors";
import { deepStrictEqual, fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { createFrameReader } from "./createFrameReader.js";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";

const anyFrame: fc.Arbitrary<Frame> = fc.oneof(
    fc.constant<Frame>({ t: "ping" }),
    fc.record({ t: fc.constant("challenge" as const), nonce: fc.string() }),
    fc.record({ t: fc.constant("reply" as const), id: fc.nat(), body: fc.array(fc.string()) }),
);

Then("the frame reader decodes what encodeFrame wrote, split anywhere", () => {
    fc.assert(fc.property(fc.array(anyFrame, { maxLength: 5 }), fc.array(fc.nat(50)), (frames, cuts) => {
        const reader = createFrameReader();
        const read = split(Buffer.concat(frames.map(encodeFrame)), cuts).flatMap(part => reader(part));
        deepStrictEqual(read, structuredClone(frames));
    }));
});

Then("the frame reader accepts any bytes", () => {
    const bytes = fc.oneof(fc.uint8Array(), fc.uint8Array().map(prependLength));
    fc.assert(fc.property(bytes, part => {
        try {
            createFrameReader()(Buffer.from(part)).forEach(frame => strictEqual(typeof frame.t, "string"));
        }
        catch (err) {
            ok(err instanceof ServeError && err.code === "frame_invalid", String(err));
        }
    }));
});

Then(
    "the frame reader with a limit of {int} bytes rejects a frame of {int} bytes",
    (maxBytes: number, length: number) => {
        const head = Buffer.alloc(4);
        head.writeUInt32BE(length, 0);
        let code = "";
        try {
            createFrameReader({ maxBytes })(head);
        }
        catch (err) {
            code = (err as ServeError).code;
        }
        strictEqual(code, "frame_invalid");
    },
);

function split(bytes: Buffer, cuts: readonly number[]): readonly Buffer[] {
    const parts: Buffer[] = [];
    let rest = bytes;
    for (const cut of cuts) {
        parts.push(rest.subarray(0, cut));
        rest = rest.subarray(cut);
    }
    return [...parts, rest];
}

function prependLength(body: Uint8Array): Uint8Array {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(body.length, 0);
    return Buffer.concat([head, body]);
}
