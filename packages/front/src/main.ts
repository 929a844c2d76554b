// First, so that a reload signal is taken from the start.
import "./onReload.js";
import { toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import { readDeployment } from "@fulmarcleat/platform";
import { stopOnSignals } from "@fulmarcleat/program";
import { startFront } from "./startFront.js";

/** Exit code of a process that could not start. */
const EXIT_FAILED = 1;
const log = createEventLog({ process: "fulmarcleat-front" });

try {
    const deployment = await readDeployment(process.env);
    const running = await startFront(deployment, () => readDeployment(process.env));
    stopOnSignals(running, deployment.bounds.stopMs, log);
}
catch (err) {
    const failure = toServeError(err, { code: "internal", step: "start", peer: "self", outcome: "not_run" });
    log.write("error", 105, { code: failure.code, step: failure.step, message: failure.message });
    process.exit(EXIT_FAILED);
}
