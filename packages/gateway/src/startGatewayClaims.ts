import type { HostId } from "@fulmarcleat/ids";
import type { PolicySpec } from "@fulmarcleat/resources";
import type { GatewaySettings } from "./gatewaySettings.js";
import { listClaimHosts } from "./listClaimHosts.js";
import { startClaimTask } from "./startClaimTask.js";
import type { ClaimTask, ClaimTaskOptions } from "./startClaimTask.js";

/** Dependencies of a gateway's claim task. */
export interface GatewayClaimsContext
    extends
        Pick<ClaimTaskOptions, "incarnation" | "kv" | "hash" | "clock" | "metrics" | "requestFromPeer" | "endOnPeer">
{
    readonly readPolicy: () => PolicySpec;
    /** Lists the responsive hosts in this host's membership view. */
    readonly listLiveHosts: () => readonly { readonly host: HostId }[];
}

/** Maximum size of a claim page, in bytes. */
const MAX_PAGE_BYTES = 900_000;
/** Retry delay sent to callers while claims are unavailable, in milliseconds. */
const RETRY_AFTER_MS = 1000;

/**
 * Starts a gateway's claim task with the limits from its settings and the policy in effect.
 *
 * @param cfg - Validated settings of the gateway
 * @param context - Key-value client, peer functions and policy access
 * @returns the running task
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
        listHosts: () => listClaimHosts(context.listLiveHosts(), cfg.host),
    });
}
