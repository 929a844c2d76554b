import { authenticateRequest, choosePriority } from "@fulmarcleat/accounts";
import type { AuthenticationTerms } from "@fulmarcleat/accounts";
import type { ClientAccount, Route, Service, ServingConfig } from "@fulmarcleat/directory";
import { matchRoute, pickTarget } from "@fulmarcleat/dispatch";
import { toErrorStatus } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Hasher } from "@fulmarcleat/hashing";
import type { RequestId } from "@fulmarcleat/ids";
import type { ClientHead } from "@fulmarcleat/platform";
import type { ForwardMark } from "./forwardMark.js";

/** The route, service and account of a request, or why it is refused. */
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
        /** The service that a new request goes to. */
        readonly service: Service;
        /** The route's other services; a stream that began at one of them goes on there. */
        readonly alternatives: readonly Service[];
        /** Account of the request; undefined if it needs none. */
        readonly account: ClientAccount | undefined;
        /** 0 is the most urgent. */
        readonly priority: number;
    };

/** What a host knows of the configuration. */
export interface KnownConfig extends Omit<AuthenticationTerms, "isAnonymous"> {
    /** Configuration in effect; undefined before one is known. */
    readonly config: ServingConfig | undefined;
}

/** Retry-After of a host that has no configuration, or whose version may be too old to decide, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;

/**
 * Finds the route, the service and the account of a client's request. A host that may lack a newer configuration
 * doesn't say that there is no such route or key: the client gives up on that answer, while another host may know it.
 *
 * @param head - Decoded headers of the request
 * @param path - Path and query of the request
 * @param known - Configuration in effect, its accounts, and whether it is current
 * @param hash - Hash function that all hosts share
 * @param mark - What another host states that has handed the request to this one
 * @returns the plan, or a refusal
 *
 * @example
 * const plan = planRequest(head, req.url ?? "/", known, hash, undefined);
 */
export function planRequest(
    head: ClientHead,
    path: string,
    known: KnownConfig,
    hash: Hasher,
    mark: Pick<ForwardMark, "account"> | undefined,
): RequestPlan {
    const { config } = known;
    if (config === undefined) {
        return refuse("not_ready", NO_CONFIG_RETRY_MS);
    }
    const { requestId } = head;
    if (requestId === undefined) {
        return refuse("bad_request");
    }
    const route = matchRoute(config.routes, head.hostName, path);
    // Where a resumed stream began is asked for later; without an answer it goes where its first request would go now.
    const key = head.resumedRequestId ?? requestId;
    const target = route === undefined ? undefined : pickTarget(hash, route.targets, key);
    const service = target === undefined ? undefined : config.services.get(target);
    if (route === undefined || service === undefined) {
        return known.isCurrent() ? refuse("not_found") : refuse("not_ready", NO_CONFIG_RETRY_MS);
    }
    const forwarded = mark === undefined ? undefined : { account: mark.account };
    const { isAnonymous } = route;
    const authentication = authenticateRequest({ apiKey: head.apiKey, forwarded }, { ...known, isAnonymous });
    switch (authentication.kind) {
        case "unauthenticated":
            return refuse("unauthenticated");
        case "undecided":
            return refuse("not_ready", NO_CONFIG_RETRY_MS);
        case "account":
        case "no_account": {
            const account = authentication.kind === "account" ? authentication.account : undefined;
            const priority = choosePriority(account, route);
            const alternatives = listServices(config, route).filter(({ name }) => name !== service.name);
            return { kind: "planned", requestId, config, route, service, alternatives, account, priority };
        }
    }
}

/** Lists the services that a route sends requests to. */
function listServices(config: ServingConfig, { targets }: Route): readonly Service[] {
    return targets
        .filter(({ weight }) => weight > 0)
        .map(target => config.services.get(target.service))
        .filter(service => service !== undefined);
}

function refuse(code: ErrorCode, retryAfterMs?: number): RequestPlan {
    return { kind: "refused", status: toErrorStatus(code), reason: code, retryAfterMs };
}
