import { runProgram } from "@fulmarcleat/program";
import { gatewaySettingsSchema } from "./gatewaySettings.js";
import { startGateway } from "./startGateway.js";

await runProgram({
    name: "fulmarcleat-gateway",
    description:
        "Accepts callers' requests, routes them to engines and plain services, and owns its share of the engines.",
    schema: gatewaySettingsSchema,
    start: startGateway,
    readStopLimitMs: cfg => cfg.stopLimitMs,
});
