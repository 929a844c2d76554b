import { registerTable } from "@fulmarcleat/testing";
import * as z from "zod";
import { describeSettings } from "./describeSettings.js";

const schema = z.strictObject({
    host: z.string().min(1),
    kv: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    mode: z.enum(["a", "b"]).optional(),
});

registerTable("describeSettings", () => describeSettings(schema));
