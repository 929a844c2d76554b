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

/** Retry-After of a host that has no configuration yet, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;

/**
 * Finds the route and the service of a client's request.
 *
 * @param head - Decoded headers of the request
 * @param path - Path and query of the request
 * @param config - Configuration in effect; undefined before one is known
 * @param hash - Hash function that all hosts share
 * @returns the plan, or a refusal
 *
 * @example
 * const plan = planRequest(head, req.url ?? "/", clusterView.config, hash);
 */
export function planRequest(
    head: ClientHead,
    path: string,
    config: ServingConfig | undefined,
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
        return refuse("not_found");
    }
    return { kind: "planned", requestId, config, route, service };
}

function refuse(code: ErrorCode, retryAfterMs?: number): RequestPlan {
    return { kind: "refused", status: toErrorStatus(code), reason: code, retryAfterMs };
}
