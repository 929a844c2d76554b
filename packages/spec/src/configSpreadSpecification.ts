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
import { createSpecChange, foldOrder, isSameContent, toContent, toPageMap } from "./configSpecParts.js";
import type { SpecPages } from "./configSpecParts.js";
import type { Invariant, Specification } from "./specification.js";

/** Defects that can be switched on. */
export interface SpreadDefects {
    /** Takes a whole configuration even where it is older. */
    readonly acceptOlder?: boolean;
    /** Says ready as soon as anything is known. */
    readonly serveIncomplete?: boolean;
    /** Says ready with less than its peers have. */
    readonly ignorePeers?: boolean;
    /** Takes the log for complete although it was compacted. */
    readonly trustLogAlone?: boolean;
}

/** A host's configuration without its maps. */
interface PlainHost extends Omit<HostConfigState, "snapshot"> {
    readonly seq: number;
    readonly resources: readonly Resource[];
}

interface SpecHost {
    readonly config: PlainHost;
    /** A message on its way, which may be late: a log, changes or a whole configuration. */
    readonly late: HostConfigMessage | undefined;
    /** Newest change that was in force in this run of the host. */
    readonly peak: number;
    /** Newest change that a peer had told of when the host first said ready. */
    readonly floor: number;
}

/** Hosts that follow one log. */
export interface SpreadStateOfAll {
    readonly log: ConfigLog;
    readonly pages: SpecPages;
    readonly order: readonly ConfigChange[];
    readonly hosts: readonly SpecHost[];
    readonly restartsLeft: number;
}

/** What can happen. */
export type SpreadEvent =
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

const ACCEPTED_NAMES = ["a", "b"] as const;
const MOST_CHANGES = ACCEPTED_NAMES.length;
const FRESH_HOST: SpecHost = {
    config: toPlain(INITIAL_HOST_CONFIG),
    late: undefined,
    peak: 0,
    floor: 0,
};
const STATE_LIMIT = 200_000;

const INVARIANTS: readonly Invariant<SpreadStateOfAll>[] = [
    {
        name: "a host never goes back",
        check: state => checkHosts(state, host => host.config.seq >= host.peak),
    },
    {
        name: "order agrees: a complete host holds a prefix of the order",
        check: state =>
            checkHosts(state, ({ config }) =>
                !config.complete
                || isSameContent(toContent(config.seq, config.resources), foldOrder(state.order, config.seq))),
    },
    {
        name: "a ready host is complete",
        check: state => checkHosts(state, ({ config }) => !config.ready || config.complete),
    },
    {
        name: "a ready host is as new as its peers were",
        check: state => checkHosts(state, host => !host.config.ready || host.config.seq >= host.floor),
    },
];

/**
 * Specifies how hosts follow the configuration, with lost, late and repeated messages and restarts.
 *
 * @param defects - Defects to switch on
 * @returns the specification
 *
 * @example
 * exploreSpecification(configSpreadSpecification({}));
 */
export function configSpreadSpecification(defects: SpreadDefects): Specification<SpreadStateOfAll, SpreadEvent> {
    return {
        name: "configuration spread",
        initial: {
            log: { baseSeq: 0, changes: [] },
            pages: {},
            order: [],
            hosts: [FRESH_HOST, FRESH_HOST],
            restartsLeft: 1,
        },
        listEvents,
        step: (state, event) => step(state, event, defects),
        invariants: INVARIANTS,
        limit: STATE_LIMIT,
    };
}

function checkHosts(state: SpreadStateOfAll, holds: (host: SpecHost) => boolean): string | undefined {
    const at = state.hosts.findIndex(host => !holds(host));
    return at < 0 ? undefined : `host ${at} holds ${JSON.stringify(state.hosts[at]?.config.seq)}`;
}

function listEvents(state: SpreadStateOfAll): readonly SpreadEvent[] {
    const events: SpreadEvent[] = [];
    if (state.order.length < MOST_CHANGES) {
        events.push({ type: "accept" });
    }
    if (state.order.length > 1 && planCompaction(state.log) !== undefined) {
        events.push({ type: "compact" });
    }
    state.hosts.forEach((host, at) => {
        const peer = state.hosts[1 - at] ?? FRESH_HOST;
        events.push(...listHostEvents(state, host, peer, at === 0).map(type => ({ type, host: at })));
    });
    return events;
}

type HostEventType = Extract<SpreadEvent, { host: number }>["type"];

function listHostEvents(
    state: SpreadStateOfAll,
    host: SpecHost,
    peer: SpecHost,
    isMoving: boolean,
): readonly HostEventType[] {
    const isDelayable = isMoving && host.late === undefined;
    return [
        ...(state.order.length > 0 ? ["watch" as const] : []),
        ...(host.config.loading ? ["load" as const, "failLoad" as const] : []),
        ...(!isMoving && peer.config.complete ? ["fetch" as const] : []),
        ...(!isMoving && peer.config.recent.length > 0 ? ["push" as const] : []),
        ...(isDelayable && state.order.length > 0 ? ["delayLog" as const] : []),
        ...(isDelayable && peer.config.complete ? ["delayFetched" as const] : []),
        ...(isDelayable && peer.config.recent.length > 0 ? ["delayPushed" as const] : []),
        ...(host.late === undefined ? [] : ["takeLate" as const]),
        ...(!isMoving || host.config.greeted ? [] : ["greet" as const]),
        ...(isMoving && state.restartsLeft > 0 && host.config.complete ? ["restart" as const] : []),
    ];
}

function step(state: SpreadStateOfAll, event: SpreadEvent, defects: SpreadDefects): SpreadStateOfAll {
    switch (event.type) {
        case "accept": {
            const seq = state.order.length + 1;
            const change = createSpecChange(seq, `c${seq}`, ACCEPTED_NAMES[seq - 1] ?? "a");
            const log = { ...state.log, changes: [...state.log.changes, change] };
            return { ...state, log, order: [...state.order, change] };
        }
        case "compact":
            return compact(state);
        default:
            return stepHost(state, event.type, event.host, defects);
    }
}

function compact(state: SpreadStateOfAll): SpreadStateOfAll {
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
    state: SpreadStateOfAll,
    type: HostEventType,
    at: number,
    defects: SpreadDefects,
): SpreadStateOfAll {
    const host = state.hosts[at] ?? FRESH_HOST;
    const peer = state.hosts[1 - at] ?? FRESH_HOST;
    const set = (next: SpecHost): SpreadStateOfAll => ({
        ...state,
        hosts: state.hosts.map((present, index) => (index === at ? next : present)),
    });
    switch (type) {
        case "watch":
            return set(send(host, { kind: "log", log: state.log }, defects));
        case "load":
            return set(send(host, readAll(state), defects));
        case "failLoad":
            return set(send(host, { kind: "loadFailed" }, defects));
        case "fetch":
            return set(send(host, readReply(peer), defects));
        case "push":
            return set(send(host, { kind: "pushed", changes: peer.config.recent }, defects));
        case "delayLog":
            return set({ ...host, late: { kind: "log", log: state.log } });
        case "delayFetched":
            return set({ ...host, late: readReply(peer) });
        case "delayPushed":
            return set({ ...host, late: { kind: "pushed", changes: peer.config.recent } });
        case "takeLate":
            return set(host.late === undefined ? host : send({ ...host, late: undefined }, host.late, defects));
        case "greet":
            return set(
                send(send(host, { kind: "heard", seq: peer.config.seq }, defects), { kind: "greeted" }, defects),
            );
        case "restart":
            return { ...set(FRESH_HOST), restartsLeft: state.restartsLeft - 1 };
    }
}

function readAll(state: SpreadStateOfAll): HostConfigMessage {
    const merged = mergePages(state.log.baseSeq, toPageMap(state.pages), state.log);
    return merged === undefined ? { kind: "loadFailed" } : { kind: "loaded", ...merged };
}

function readReply(peer: SpecHost): HostConfigMessage {
    const reply = answerConfigFetch(fromPlain(peer.config), { afterSeq: -1 });
    return reply.kind === "snapshot"
        ? { kind: "loaded", seq: reply.seq, resources: sortResources(reply.resources) }
        : { kind: "loadFailed" };
}

function send(host: SpecHost, message: HostConfigMessage, defects: SpreadDefects): SpecHost {
    const before = fromPlain(prepare(host.config, message, defects));
    const after = toPlain(reduceHostConfig(before, message).state);
    const ready = after.ready
        || (defects.serveIncomplete === true && (after.seq > 0 || message.kind === "log"))
        || (defects.ignorePeers === true && after.complete);
    const config = { ...after, ready };
    const isFirst = ready && !host.config.ready;
    return {
        ...host,
        config,
        peak: Math.max(host.peak, host.config.seq),
        floor: isFirst ? (after.sawLog ? 0 : after.heardSeq) : host.floor,
    };
}

function prepare(config: PlainHost, message: HostConfigMessage, defects: SpreadDefects): PlainHost {
    if (defects.acceptOlder === true && message.kind === "loaded") {
        return { ...config, seq: 0, resources: [], complete: false };
    }
    if (defects.trustLogAlone === true && message.kind === "log" && !config.complete) {
        const first = message.log.changes[0]?.seq ?? readLastSeq(message.log) + 1;
        return { ...config, complete: true, seq: first - 1 };
    }
    return config;
}

function toPlain(state: HostConfigState): PlainHost {
    const { snapshot, ...rest } = state;
    return { ...rest, seq: snapshot.seq, resources: sortResources(listAllResources(snapshot)) };
}

function fromPlain(host: PlainHost): HostConfigState {
    const { seq, resources, ...rest } = host;
    return { ...rest, snapshot: createSnapshot(seq, resources) };
}

function sortResources(resources: readonly Resource[]): readonly Resource[] {
    return [...resources].sort((a, b) => choosePage(a.metadata.name) - choosePage(b.metadata.name));
}
