import type { Route } from "@fulmarcleat/directory";
import type { RequestId, ServiceName } from "@fulmarcleat/ids";
import { findAgreedOrigin, listOriginServices } from "@fulmarcleat/origins";
import type { StreamOrigin } from "@fulmarcleat/wire";
import type { ClusterView } from "../createClusterView.js";
import type { FrontContext } from "../frontContext.js";

/** A route, as far as it decides where streams begin. */
export type OriginRoute = Pick<Route, "name" | "targets">;

/** Where streams of a route begin by the rules on record. */
export interface RuleBook {
    /** Finds the origin that all of the route's rules give; undefined if they give none, or none is on record. */
    predict(route: OriginRoute, requestId: RequestId): StreamOrigin | undefined;
    /** Whether streams of the route begin at a service and software version by one of its rules. */
    mayGive(route: OriginRoute, origin: StreamOrigin): boolean;
    /** Lists the services at which a stream can have begun; `requestId` is undefined if the client names none. */
    listServices(route: OriginRoute, requestId: RequestId | undefined): ReadonlySet<ServiceName>;
    /** Lists the routes whose rules have changed since the last call. */
    takeChanges(): ReadonlySet<string>;
}

/**
 * Creates the reader of the origin rules.
 *
 * @param context - Hash function that all hosts share
 * @param clusterView - The rules on record
 * @returns the reader
 *
 * @example
 * const origin = createRuleBook(context, clusterView).predict(route, requestId);
 */
export function createRuleBook(
    { hash }: Pick<FrontContext, "hash">,
    clusterView: Pick<ClusterView, "originRules">,
): RuleBook {
    const readRules = ({ name }: OriginRoute) => clusterView.originRules.get(name)?.rules;
    let revisions: ReadonlyMap<string, number> = new Map();
    return {
        predict: (route, requestId) => findAgreedOrigin(hash, readRules(route) ?? [], requestId),
        mayGive: (route, { service, softwareVersion }) =>
            (readRules(route) ?? []).some(rule =>
                rule.kind === "weighted" && rule.services.some(weighted =>
                    weighted.service === service
                    && weighted.versions.some(version => version.softwareVersion === softwareVersion)
                )
            ),
        listServices: (route, requestId) => listOriginServices(hash, route.targets, readRules(route), requestId),
        takeChanges() {
            const former = revisions;
            revisions = new Map([...clusterView.originRules].map(([route, { revision }]) => [route, revision]));
            return new Set(
                [...revisions].filter(([route, revision]) => former.get(route) !== revision)
                    .map(([route]) => route),
            );
        },
    };
}
