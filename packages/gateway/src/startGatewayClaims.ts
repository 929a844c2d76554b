import type { HostId } from "@fulmarcleat/ids";
import type { PolicySpec } from "@fulmarcleat/resources";
import type { GatewaySettings } from "./gatewaySettings.js";
import { listClaimHosts } from "./listClaimHosts.js";
import { startClaimTask } from "./startClaimTask.js";
import type { ClaimTask, ClaimTaskOptions } from "./startClaimTask.js";

/** What the claims of a gateway need besides its settings. */
export interface GatewayClaimsContext
    extends Pick<ClaimTaskOptions, "incarnation" | "kv" | "hash" | "clock" | "metrics" | "askPeer" | "endPeer">
{
    readonly readPolicy: () => PolicySpec;
    readonly listLive: () => readonly { readonly host: HostId }[];
}

const MAX_PAGE_BYTES = 900_000;
const RETRY_AFTER_MS = 1000;

/**
 * Starts the claims of a gateway with the limits of its settings and of the policy in force.
 *
 * @param cfg - Settings
 * @param context - Client, peers and policy
 * @returns the task
 *
 * @example
 * const claims = startGatewayClaims(cfg, context);
 */
export function startGatewayClaims(cfg: GatewaySettings, context: GatewayClaimsContext): ClaimTask {
    return startClaimTask({
        ...context,
        ...cfg.keyed,
        host: cfg.host,
        readLimits: () => ({
            retentionMs: cfg.keyed.retentionMs,
            maxRunMs: context.readPolicy().maxRequestMs,
            maxPageBytes: MAX_PAGE_BYTES,
            maxAnswerBytes: cfg.keyed.keptAnswerBytes / cfg.keyed.partitions,
            retryAfterMs: RETRY_AFTER_MS,
        }),
        listHosts: () => listClaimHosts(context.listLive(), cfg.host),
    });
}
