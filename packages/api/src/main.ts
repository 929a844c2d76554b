import { runProgram } from "@fulmarcleat/program";
import { apiSettingsSchema } from "./apiSettings.js";
import { startApi } from "./startApi.js";

await runProgram({
    name: "fulmarcleat-api",
    description: "Takes operators' requests, commits their changes and tells where they are in force.",
    schema: apiSettingsSchema,
    start: startApi,
    readStopLimitMs: cfg => cfg.stopLimitMs,
});
