import type { Route } from "@fulmarcleat/directory";

/**
 * Finds the route of a request: the one with the longest matching path prefix among the host name's routes.
 *
 * @param routes - Routes of the serving configuration
 * @param hostName - Host name in lower case, without a port
 * @param target - Path and query of the request
 * @returns the route, or undefined if none matches
 *
 * @example
 * const route = matchRoute(config.routes, "a.example", "/reports/7?x=1");
 */
export function matchRoute(routes: readonly Route[], hostName: string, target: string): Route | undefined {
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    let best: Route | undefined;
    for (const route of routes) {
        if (
            route.hostName === hostName
            && path.startsWith(route.pathPrefix)
            && (best === undefined || route.pathPrefix.length > best.pathPrefix.length)
        ) {
            best = route;
        }
    }
    return best;
}
