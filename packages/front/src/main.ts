// Imported first, so that a reload signal during the start is not lost.
import "./onReload.js";
import { parseEnginePolicy } from "@fulmarcleat/dispatch";
import { toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import { readDeployment } from "@fulmarcleat/platform";
import { stopOnSignals } from "@fulmarcleat/program";
import { checkDeployment } from "./checkDeployment.js";
import { startFront } from "./startFront.js";

/** Exit code of a process that could not start. */
const EXIT_FAILED = 1;
/** Environment variable that sets the policy for choosing engines. */
const POLICY_VARIABLE = "FULMARCLEAT_POLICY";
const log = createEventLog({ process: "fulmarcleat-front" });

try {
    const readSettings = async () => checkDeployment(await readDeployment(process.env));
    const deployment = await readSettings();
    const policy = parseEnginePolicy(process.env[POLICY_VARIABLE]);
    const running = await startFront(deployment, policy, readSettings);
    stopOnSignals(running, deployment.bounds.stopMs, log);
}
catch (err) {
    const failure = toServeError(err, { code: "internal", step: "start", peer: "self", outcome: "not_run" });
    log.write("error", 105, { code: failure.code, step: failure.step, message: failure.message });
    process.exit(EXIT_FAILED);
}
