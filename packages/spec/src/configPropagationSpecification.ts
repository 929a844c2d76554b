import {
    answerConfigFetch,
    applyToPage,
    EMPTY_PAGE,
    INITIAL_HOST_CONFIG,
    mergePages,
    planCompaction,
    readLastSeq,
    reduceHostConfig,
    trimLog,
} from "@fulmarcleat/config";
import type { ConfigLog, HostConfigMessage, HostConfigState } from "@fulmarcleat/config";
import { choosePage, createSnapshot, listAllResources } from "@fulmarcleat/resources";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";
import { createSpecChange, foldChanges, isSameContent, toContent, toPageMap } from "./configSpecParts.js";
import type { SpecPages } from "./configSpecParts.js";
import type { Invariant, Specification } from "./specification.js";

/** Defects of propagation that can be switched on. */
export interface PropagationDefects {
    /** Accepts a complete configuration that is older than the current one. */
    readonly acceptOlderSnapshot?: boolean;
    /** Reports ready with an incomplete configuration. */
    readonly reportReadyWhileIncomplete?: boolean;
    /** Reports ready with an older configuration than its peers have. */
    readonly reportReadyBehindPeers?: boolean;
    /** Assumes that the log holds every change although it was compacted. */
    readonly treatCompactedLogAsComplete?: boolean;
}

/** A host's configuration with plain values in place of maps, so that it serializes into a state's key. */
interface SerializedHost extends Omit<HostConfigState, "snapshot"> {
    readonly seq: number;
    readonly resources: readonly Resource[];
}

/** A host that receives the configuration. */
interface SpecHost {
    readonly config: SerializedHost;
    /** A message in flight that may arrive at any later time: a log, changes or a complete configuration. */
    readonly delayedMessage: HostConfigMessage | undefined;
    /** Newest change that was in effect before the last message, in this incarnation of the host. */
    readonly highestAppliedSeq: number;
    /** Newest change that a peer had reported when the host first reported ready; 0 if the host had read the log. */
    readonly requiredSeq: number;
}

/** State of the propagation model: hosts that watch one log. */
export interface PropagationModel {
    readonly log: ConfigLog;
    readonly pages: SpecPages;
    /** All changes in commit order. */
    readonly commitOrder: readonly ConfigChange[];
    readonly hosts: readonly SpecHost[];
    readonly restartsLeft: number;
}

/**
 * An event of the propagation model. The `delay` events put a message in flight that `takeLate` delivers; `greet`
 * passes the peer's newest change number to the host.
 */
export type PropagationEvent =
    | { readonly type: "accept" | "compact" }
    | {
        readonly type:
            | "watch"
            | "load"
            | "failLoad"
            | "fetch"
            | "push"
            | "delayLog"
            | "delayFetched"
            | "delayPushed"
            | "takeLate"
            | "greet"
            | "restart";
        readonly host: number;
    };

/** Name of the Caller that each accepted change puts. */
const CALLER_NAMES = ["a", "b"] as const;
/** Maximum number of accepted changes in one trace. */
const MAX_CHANGES = CALLER_NAMES.length;
const INITIAL_HOST: SpecHost = {
    config: serializeHost(INITIAL_HOST_CONFIG),
    delayedMessage: undefined,
    highestAppliedSeq: 0,
    requiredSeq: 0,
};
/** Maximum number of states to explore. */
const STATE_LIMIT = 200_000;

const INVARIANTS: readonly Invariant<PropagationModel>[] = [
    {
        name: "a host never goes back",
        check: state => checkHosts(state, host => host.config.seq >= host.highestAppliedSeq),
    },
    {
        name: "order agrees: a complete host holds a prefix of the order",
        check: state =>
            checkHosts(state, ({ config }) =>
                !config.complete
                || isSameContent(toContent(config.seq, config.resources), foldChanges(state.commitOrder, config.seq))),
    },
    {
        name: "a ready host is complete",
        check: state => checkHosts(state, ({ config }) => !config.ready || config.complete),
    },
    {
        name: "a ready host is as new as its peers were",
        check: state => checkHosts(state, host => !host.config.ready || host.config.seq >= host.requiredSeq),
    },
];

/**
 * Specifies how hosts receive the configuration, with lost, delayed and repeated messages and restarts.
 *
 * @param defects - Defects to switch on; empty for the production behaviour
 * @returns the specification
 *
 * @example
 * exploreSpecification(configPropagationSpecification({}));
 */
export function configPropagationSpecification(
    defects: PropagationDefects,
): Specification<PropagationModel, PropagationEvent> {
    return {
        name: "configuration spread",
        initial: {
            log: { baseSeq: 0, changes: [] },
            pages: {},
            commitOrder: [],
            hosts: [INITIAL_HOST, INITIAL_HOST],
            restartsLeft: 1,
        },
        listEvents,
        step: (state, event) => step(state, event, defects),
        invariants: INVARIANTS,
        stateLimit: STATE_LIMIT,
    };
}

function checkHosts(state: PropagationModel, isValid: (host: SpecHost) => boolean): string | undefined {
    const at = state.hosts.findIndex(host => !isValid(host));
    return at < 0 ? undefined : `host ${at} is at change ${JSON.stringify(state.hosts[at]?.config.seq)}`;
}

function listEvents(state: PropagationModel): readonly PropagationEvent[] {
    const events: PropagationEvent[] = [];
    if (state.commitOrder.length < MAX_CHANGES) {
        events.push({ type: "accept" });
    }
    if (state.commitOrder.length > 1 && planCompaction(state.log) !== undefined) {
        events.push({ type: "compact" });
    }
    state.hosts.forEach((host, at) => {
        const peer = state.hosts[1 - at] ?? INITIAL_HOST;
        events.push(...listHostEvents(state, host, peer, at === 0).map(type => ({ type, host: at })));
    });
    return events;
}

type HostEventType = Extract<PropagationEvent, { host: number }>["type"];

function listHostEvents(
    state: PropagationModel,
    host: SpecHost,
    peer: SpecHost,
    isFaultTarget: boolean,
): readonly HostEventType[] {
    const isDelayable = isFaultTarget && host.delayedMessage === undefined;
    return [
        ...(state.commitOrder.length > 0 ? ["watch" as const] : []),
        ...(host.config.loading ? ["load" as const, "failLoad" as const] : []),
        ...(!isFaultTarget && peer.config.complete ? ["fetch" as const] : []),
        ...(!isFaultTarget && peer.config.recent.length > 0 ? ["push" as const] : []),
        ...(isDelayable && state.commitOrder.length > 0 ? ["delayLog" as const] : []),
        ...(isDelayable && peer.config.complete ? ["delayFetched" as const] : []),
        ...(isDelayable && peer.config.recent.length > 0 ? ["delayPushed" as const] : []),
        ...(host.delayedMessage === undefined ? [] : ["takeLate" as const]),
        ...(!isFaultTarget || host.config.hasAskedPeers ? [] : ["greet" as const]),
        ...(isFaultTarget && state.restartsLeft > 0 && host.config.complete ? ["restart" as const] : []),
    ];
}

function step(state: PropagationModel, event: PropagationEvent, defects: PropagationDefects): PropagationModel {
    switch (event.type) {
        case "accept": {
            const seq = state.commitOrder.length + 1;
            const change = createSpecChange(seq, `c${seq}`, CALLER_NAMES[seq - 1] ?? "a");
            const log = { ...state.log, changes: [...state.log.changes, change] };
            return { ...state, log, commitOrder: [...state.commitOrder, change] };
        }
        case "compact":
            return compact(state);
        default:
            return stepHost(state, event.type, event.host, defects);
    }
}

function compact(state: PropagationModel): PropagationModel {
    const plan = planCompaction(state.log);
    if (plan === undefined) {
        return state;
    }
    const pages: Record<string, SpecPages[string]> = { ...state.pages };
    for (const number of plan.pages) {
        pages[number] = applyToPage(pages[number] ?? EMPTY_PAGE, state.log.changes, { number, upTo: plan.upTo });
    }
    return { ...state, pages, log: trimLog(state.log, { upTo: plan.upTo, keepChanges: 1, keepAfterMs: 0 }) };
}

function stepHost(
    state: PropagationModel,
    type: HostEventType,
    at: number,
    defects: PropagationDefects,
): PropagationModel {
    const host = state.hosts[at] ?? INITIAL_HOST;
    const peer = state.hosts[1 - at] ?? INITIAL_HOST;
    const replaceHost = (next: SpecHost): PropagationModel => ({
        ...state,
        hosts: state.hosts.map((current, index) => (index === at ? next : current)),
    });
    switch (type) {
        case "watch":
            return replaceHost(deliverMessage(host, { kind: "log", log: state.log }, defects));
        case "load":
            return replaceHost(deliverMessage(host, loadFromStore(state), defects));
        case "failLoad":
            return replaceHost(deliverMessage(host, { kind: "loadFailed" }, defects));
        case "fetch":
            return replaceHost(deliverMessage(host, fetchFromPeer(peer), defects));
        case "push":
            return replaceHost(deliverMessage(host, { kind: "pushed", changes: peer.config.recent }, defects));
        case "delayLog":
            return replaceHost({ ...host, delayedMessage: { kind: "log", log: state.log } });
        case "delayFetched":
            return replaceHost({ ...host, delayedMessage: fetchFromPeer(peer) });
        case "delayPushed":
            return replaceHost({ ...host, delayedMessage: { kind: "pushed", changes: peer.config.recent } });
        case "takeLate":
            return replaceHost(
                host.delayedMessage === undefined
                    ? host
                    : deliverMessage({ ...host, delayedMessage: undefined }, host.delayedMessage, defects),
            );
        case "greet":
            return replaceHost(
                deliverMessage(deliverMessage(host, { kind: "heard", seq: peer.config.seq }, defects), {
                    kind: "greeted",
                }, defects),
            );
        case "restart":
            return { ...replaceHost(INITIAL_HOST), restartsLeft: state.restartsLeft - 1 };
    }
}

function loadFromStore(state: PropagationModel): HostConfigMessage {
    const merged = mergePages(state.log.baseSeq, toPageMap(state.pages), state.log);
    return merged === undefined ? { kind: "loadFailed" } : { kind: "loaded", ...merged };
}

function fetchFromPeer(peer: SpecHost): HostConfigMessage {
    const reply = answerConfigFetch(deserializeHost(peer.config), { afterSeq: -1 });
    return reply.kind === "snapshot"
        ? { kind: "loaded", seq: reply.seq, resources: sortResources(reply.resources) }
        : { kind: "loadFailed" };
}

function deliverMessage(host: SpecHost, message: HostConfigMessage, defects: PropagationDefects): SpecHost {
    const before = deserializeHost(applyDefect(host.config, message, defects));
    const after = serializeHost(reduceHostConfig(before, message).state);
    const ready = after.ready
        || (defects.reportReadyWhileIncomplete === true && (after.seq > 0 || message.kind === "log"))
        || (defects.reportReadyBehindPeers === true && after.complete);
    const config = { ...after, ready };
    const becomesReady = ready && !host.config.ready;
    return {
        ...host,
        config,
        highestAppliedSeq: Math.max(host.highestAppliedSeq, host.config.seq),
        requiredSeq: becomesReady ? (after.hasReadLog ? 0 : after.highestPeerSeq) : host.requiredSeq,
    };
}

function applyDefect(config: SerializedHost, message: HostConfigMessage, defects: PropagationDefects): SerializedHost {
    if (defects.acceptOlderSnapshot === true && message.kind === "loaded") {
        return { ...config, seq: 0, resources: [], complete: false };
    }
    if (defects.treatCompactedLogAsComplete === true && message.kind === "log" && !config.complete) {
        const first = message.log.changes[0]?.seq ?? readLastSeq(message.log) + 1;
        return { ...config, complete: true, seq: first - 1 };
    }
    return config;
}

function serializeHost(state: HostConfigState): SerializedHost {
    const { snapshot, ...rest } = state;
    return { ...rest, seq: snapshot.seq, resources: sortResources(listAllResources(snapshot)) };
}

function deserializeHost(host: SerializedHost): HostConfigState {
    const { seq, resources, ...rest } = host;
    return { ...rest, snapshot: createSnapshot(seq, resources) };
}

function sortResources(resources: readonly Resource[]): readonly Resource[] {
    return [...resources].sort((a, b) => choosePage(a.metadata.name) - choosePage(b.metadata.name));
}
