import type { KnownEngine, Route } from "@fulmarcleat/directory";
import { repeat } from "@fulmarcleat/ids";
import type { EngineId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import { buildOriginRule, updateOriginRules } from "@fulmarcleat/origins";
import type { VersionWeight } from "@fulmarcleat/origins";
import type { ClusterView } from "../createClusterView.js";
import type { FrontContext } from "../frontContext.js";
import { formatOriginRuleKey } from "../hostKeys.js";
import { RESUMABLE_MS } from "../resumableTime.js";
import { runEach } from "../runEach.js";
import type { StoreHealth } from "../storeHealth.js";
import { createTurnWriter } from "./createTurnWriter.js";
import { encodeOriginRules } from "./originRulesValue.js";

/** Keeps the store's record of where streams begin. */
export interface OriginRuleRecords {
    stop(): void;
}

/** Interval between two comparisons of the engines and routes with the record, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time for which routes and engines must differ from the rules on record before these change, in milliseconds. */
const CHANGE_DELAY_MS = 2000;
/** Time for which former rules are kept, in milliseconds: streams may be resumed, and a host may lag behind as long. */
const FORMER_MS = 2 * RESUMABLE_MS;
/** Longest key that the store takes, in bytes. */
const MAX_KEY_BYTES = 200;
const STEP = "record origin rules";

/**
 * Records in the store, for each route whose streams may be resumed, at which service and software version a stream
 * begins by its request's id while the store takes no records of streams. One host writes; the others follow in turn.
 * While a host of a former version is listed nothing is on record, as its streams begin anywhere.
 *
 * @param context - Store, clock, hash, log and the deployment's bounds
 * @param health - Records whether the store answers
 * @param clusterView - Configuration, engines, live hosts and the record
 * @returns the running task
 *
 * @example
 * const originRules = startOriginRules(context, health, clusterView);
 */
export function startOriginRules(
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "log" | "readBounds" | "store">,
    health: StoreHealth,
    clusterView: Pick<
        ClusterView,
        "config" | "engines" | "members" | "originRules" | "hasReadHostKeys" | "readAgeMs" | "storeEpoch"
    >,
): OriginRuleRecords {
    const { clock, deployment, log } = context;
    /** Revisions of the routes' rules, and since when this host has known them while the store answered. */
    const known = new Map<string, { readonly revision: number; readonly sinceMs: number }>();
    const dueKeys = new Set<string>();
    const { keepDue, writeInTurn } = createTurnWriter(context, health, clusterView, {
        step: STEP,
        readRevision: key => revisions.get(key) ?? 0,
    });
    let revisions: ReadonlyMap<string, number> = new Map();
    // Streams that began during an outage may have no record, so that former rules stay as long as after a change.
    health.onRecovery(() => known.clear());

    const readAgeMs = (route: string, revision: number): number => {
        const seen = known.get(route);
        if (seen?.revision === revision) {
            return clock.nowMs() - seen.sinceMs;
        }
        known.set(route, { revision, sinceMs: clock.nowMs() });
        return 0;
    };
    const writeChange = (key: string, dueMs: number, value: Buffer | undefined): void => {
        dueKeys.add(key);
        writeInTurn(
            key,
            dueMs,
            value === undefined ? { puts: [], removes: [key] } : { puts: [{ key, value, lease: 0 }], removes: [] },
        );
    };
    const checkRoute = ({ name, targets }: Route, countVersions: ReturnType<typeof countEngines>): void => {
        const key = formatOriginRuleKey(name);
        const recorded = clusterView.originRules.get(name);
        const current = buildOriginRule(targets, service => countVersions.get(service) ?? [], recorded?.rules?.[0]);
        const next = updateOriginRules(recorded?.rules, current, {
            ageMs: recorded === undefined ? 0 : readAgeMs(name, recorded.revision),
            formerMs: FORMER_MS,
            // At the first start of the whole system only hosts that don't know the rules yet can have begun streams.
            unknownMs: deployment.isFirstStart ? context.readBounds().contactMs : RESUMABLE_MS,
        });
        if (next !== undefined && Buffer.byteLength(key) <= MAX_KEY_BYTES) {
            const isNew = recorded?.rules === undefined || next.length < recorded.rules.length;
            writeChange(key, isNew ? 0 : CHANGE_DELAY_MS, encodeOriginRules(next, clusterView.storeEpoch));
        }
    };
    const check = (): void => {
        const { config } = clusterView;
        if (config === undefined || !clusterView.hasReadHostKeys || clusterView.readAgeMs("engines") === undefined) {
            return;
        }
        dueKeys.clear();
        revisions = new Map(
            [...clusterView.originRules].map(([route, { revision }]) => [formatOriginRuleKey(route), revision]),
        );
        const routes = [...clusterView.members.values()].every(({ followsOriginRules }) => followsOriginRules === true)
            ? config.routes.filter(({ isResumable }) => isResumable)
            : [];
        const counts = countEngines(clusterView.engines);
        runEach(log, STEP, routes, ({ name }) => name, route => checkRoute(route, counts));
        const names = new Set(routes.map(({ name }) => name));
        [...clusterView.originRules.keys()].filter(route => !names.has(route))
            .forEach(route => writeChange(formatOriginRuleKey(route), CHANGE_DELAY_MS, undefined));
        keepDue(key => dueKeys.has(key));
    };
    return { stop: repeat(clock, CHECK_INTERVAL_MS, check) };
}

/** Counts the engines that get new requests, by service and software version. */
function countEngines(engines: ReadonlyMap<EngineId, KnownEngine>): ReadonlyMap<ServiceName, readonly VersionWeight[]> {
    const counts = new Map<ServiceName, Map<SoftwareVersion | undefined, number>>();
    for (const { entry: { service, softwareVersion }, isUsable } of engines.values()) {
        if (isUsable) {
            const versions = counts.get(service) ?? new Map<SoftwareVersion | undefined, number>();
            counts.set(service, versions.set(softwareVersion, (versions.get(softwareVersion) ?? 0) + 1));
        }
    }
    return new Map(
        [...counts].map(([service, versions]) => [
            service,
            [...versions].map(([softwareVersion, weight]) => ({ softwareVersion, weight })),
        ]),
    );
}
