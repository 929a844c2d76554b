import type { ServeError } from "@fulmarcleat/errors";
import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { readTls } from "./readTls.js";

Then(
    "readTls of files {string} fails with {string} naming {string}",
    async (file: string, code: string, name: string) => {
        const failure = await readTls({ certFile: file, keyFile: file }).catch((err: unknown) => err as ServeError);
        ok(failure !== undefined && "code" in failure, "the file was read");
        strictEqual(failure.code, code);
        ok(failure.message.includes(name), failure.message);
    },
);
