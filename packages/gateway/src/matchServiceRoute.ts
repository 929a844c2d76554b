import type { ResourceOf } from "@fulmarcleat/resources";

/** A route of a plain service. */
export type ServiceRoute = ResourceOf<"Service">["spec"]["routes"][number];

/**
 * Finds the first route that matches a call; `:name` matches one segment, a final `*` all remaining ones.
 *
 * @param routes - Routes of the service, in order of precedence
 * @param method - HTTP method of the call
 * @param path - Path below the service's prefix, without the query
 * @returns the route, or undefined if none matches
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
    const patternSegments = pattern.split("/");
    const segments = path.split("/");
    if (segments.some(segment => segment === ".." || segment === ".")) {
        return false;
    }
    if (patternSegments.at(-1) === "*") {
        const fixedSegments = patternSegments.slice(0, -1);
        return segments.length >= patternSegments.length
            && fixedSegments.every((part, index) => matchSegment(part, segments[index]));
    }
    return patternSegments.length === segments.length
        && patternSegments.every((part, at) => matchSegment(part, segments[at]));
}

function matchSegment(patternSegment: string, segment: string | undefined): boolean {
    return segment !== undefined && (patternSegment === segment || patternSegment.startsWith(":") && segment !== "");
}
