import type { ServingConfig } from "@fulmarcleat/directory";
import type { ClientHead, DeploymentBounds } from "@fulmarcleat/platform";
import type { ClusterView } from "../createClusterView.js";
import type { ForwardMark } from "../forwardMark.js";
import type { FrontContext } from "../frontContext.js";
import { planRequest } from "../planRequest.js";
import type { RequestPlan } from "../planRequest.js";
import { createAccountIndexReader } from "./createAccountIndexReader.js";

/** Part of the time for a configuration to come into force that a reply of the store may take, in milliseconds. */
const CONFIG_RESERVE_MS = 300;

/**
 * Finds the route, service and account of a request at this moment; routes are those of `config`, accounts those of the
 * newest configuration.
 */
export type RequestPlanner = (
    head: ClientHead,
    path: string,
    mark: ForwardMark | undefined,
    config: ServingConfig | undefined,
) => RequestPlan;

/**
 * Creates the planner of client requests.
 *
 * @param context - Hash function and the deployment's bounds
 * @param clusterView - Source of the configuration in effect and of its age
 * @returns the planner
 *
 * @example
 * const plan = createRequestPlanner(context, clusterView)(head, req.url ?? "/", mark, clusterView.config);
 */
export function createRequestPlanner(
    context: Pick<FrontContext, "hash" | "readBounds">,
    clusterView: Pick<ClusterView, "config" | "readAgeMs">,
): RequestPlanner {
    const readAccountIndex = createAccountIndexReader();
    return (head, path, mark, config) => {
        const index = readAccountIndex(clusterView.config);
        const confirmedAgoMs = clusterView.readAgeMs("config");
        const isCurrent = (): boolean =>
            confirmedAgoMs !== undefined && confirmedAgoMs <= context.readBounds().configApplyMs - CONFIG_RESERVE_MS;
        const maxConfirmedAgoMs = index === undefined ? undefined : chooseConfirmLimit(context.readBounds());
        const known = { config, index, isCurrent, confirmedAgoMs, maxConfirmedAgoMs };
        return planRequest(head, path, known, context.hash, mark);
    };
}

/** Chooses the time for which keys are accepted after a confirmation, in milliseconds; undefined for any time. */
function chooseConfirmLimit({ keyConfirmMs, refusesUnconfirmedKeys }: DeploymentBounds): number | undefined {
    return refusesUnconfirmedKeys ? keyConfirmMs : undefined;
}
