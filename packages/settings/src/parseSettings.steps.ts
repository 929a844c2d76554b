import { ServeError } from "@fulmarcleat/errors";
import { fc, ok, registerTable, strictEqual, Then } from "@fulmarcleat/testing";
import * as z from "zod";
import { parseSettings } from "./parseSettings.js";

const schema = z.strictObject({
    host: z.string().min(1),
    port: z.int().min(0).max(65535),
    kv: z.strictObject({ url: z.url() }).default({ url: "http://127.0.0.1:1" }),
});

/** In the table rows, `|` stands for a line break. */
registerTable("parseSettings", (text: string) => {
    try {
        return parseSettings(schema, text.replaceAll("|", "\n"), { file: "f.jsonc" });
    }
    catch (err) {
        return (err as Error).message;
    }
});

Then("parseSettings returns settings or throws an error that names the file, for any text", () => {
    const text = fc.oneof(fc.string(), fc.json(), fc.string().map(part => `{"host":${part}`));
    fc.assert(fc.property(text, part => {
        try {
            strictEqual(typeof parseSettings(schema, part, { file: "f.jsonc" }).host, "string");
        }
        catch (err) {
            ok(err instanceof ServeError && err.message.startsWith("f.jsonc:"), String(err));
        }
    }));
});
