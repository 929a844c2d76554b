import type { Route, Service, ServingConfig } from "@fulmarcleat/directory";
import { matchRoute, pickTarget } from "@fulmarcleat/dispatch";
import { toErrorStatus } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Hasher } from "@fulmarcleat/hashing";
import type { RequestId } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";

/** The route and service of a request, or why it is refused. */
export type RequestPlan =
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: ErrorCode;
        readonly retryAfterMs: number | undefined;
    }
    | {
        readonly kind: "planned";
        readonly requestId: RequestId;
        readonly config: ServingConfig;
        readonly route: Route;
        readonly service: Service;
    };

/** What a host knows of the configuration. */
export interface KnownConfig {
    /** Configuration in effect; undefined before one is known. */
    readonly config: ServingConfig | undefined;
    /** Tells whether a newer one that must be in force by now would be known. */
    readonly isCurrent: () => boolean;
}

/** Retry-After of a host that has no configuration, or may lack a newer one, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;

/**
 * Finds the route and the service of a client's request. A host that may lack a newer configuration doesn't say that
 * there is none: the client gives up on that answer, while another host may know the route.
 *
 * @param head - Decoded headers of the request
 * @param path - Path and query of the request
 * @param known - Configuration in effect, and whether it is current
 * @param hash - Hash function that all hosts share
 * @returns the plan, or a refusal
 *
 * @example
 * const plan = planRequest(head, req.url ?? "/", { config: clusterView.config, isCurrent: () => true }, hash);
 */
export function planRequest(
    head: ClientHead,
    path: string,
    { config, isCurrent }: KnownConfig,
    hash: Hasher,
): RequestPlan {
    if (config === undefined) {
        return refuse("not_ready", NO_CONFIG_RETRY_MS);
    }
    const { requestId } = head;
    if (requestId === undefined) {
        return refuse("bad_request");
    }
    const route = matchRoute(config.routes, head.hostName, path);
    // A resumed stream goes where the request that began it went.
    const key = head.resumedRequestId ?? requestId;
    const target = route === undefined ? undefined : pickTarget(hash, route.targets, key);
    const service = target === undefined ? undefined : config.services.get(target);
    if (route === undefined || service === undefined) {
        return isCurrent() ? refuse("not_found") : refuse("not_ready", NO_CONFIG_RETRY_MS);
    }
    return { kind: "planned", requestId, config, route, service };
}

function refuse(code: ErrorCode, retryAfterMs?: number): RequestPlan {
    return { kind: "refused", status: toErrorStatus(code), reason: code, retryAfterMs };
}
