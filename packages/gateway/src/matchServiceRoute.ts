import type { ResourceOf } from "@fulmarcleat/resources";

/** One route of a plain service. */
export type ServiceRoute = ResourceOf<"Service">["spec"]["routes"][number];

/**
 * Finds the route of a call; `:name` stands for one segment and a last `*` for the rest.
 *
 * @param routes - Routes of the service, the first match counts
 * @param method - Method of the call
 * @param path - Path of the call below the service, without its query
 * @returns the route, or undefined where there is none
 *
 * @example
 * const route = matchServiceRoute(service.spec.routes, "POST", "/orders");
 */
export function matchServiceRoute(
    routes: readonly ServiceRoute[],
    method: string,
    path: string,
): ServiceRoute | undefined {
    return routes.find(route => route.method === method && matchPath(route.path, path));
}

function matchPath(pattern: string, path: string): boolean {
    const wanted = pattern.split("/");
    const segments = path.split("/");
    if (segments.some(segment => segment === ".." || segment === ".")) {
        return false;
    }
    if (wanted.at(-1) === "*") {
        const head = wanted.slice(0, -1);
        return segments.length >= wanted.length && head.every((part, at) => matchSegment(part, segments[at]));
    }
    return wanted.length === segments.length && wanted.every((part, at) => matchSegment(part, segments[at]));
}

function matchSegment(part: string, segment: string | undefined): boolean {
    return segment !== undefined && (part === segment || part.startsWith(":") && segment !== "");
}
