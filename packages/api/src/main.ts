import { runProgram } from "@fulmarcleat/program";
import { apiSettingsSchema } from "./apiSettings.js";
import { startApi } from "./startApi.js";

await runProgram({
    name: "fulmarcleat-api",
    description:
        "Serves the operator API: validates and commits changes, and reports on which hosts they are in force.",
    schema: apiSettingsSchema,
    start: startApi,
    readStopLimitMs: cfg => cfg.stopLimitMs,
});
