import { splitRevision } from "@fulmarcleat/directory";
import type { FeedListener, StoreEvent, StoreItem } from "@fulmarcleat/directory";
import type { EventLog } from "@fulmarcleat/events";
import type { Clock, EngineId, HostId, Suspect } from "@fulmarcleat/ids";
import type { AdapterLoadRequest } from "@fulmarcleat/wire";
import { createOwnerClaims } from "./createOwnerClaims.js";
import type { OwnerClaims } from "./createOwnerClaims.js";
import {
    formatMemberKey,
    formatOriginRuleKey,
    formatOwnerKey,
    formatQuarantineKey,
    parseHostKey,
    parseLoadRequests,
    parseMember,
    parseOwner,
} from "./hostKeys.js";
import type { Member, RecordedVersion, StoredQuarantine } from "./hostKeys.js";
import { decodeOriginRules } from "./origins/originRulesValue.js";
import type { RecordedRules } from "./origins/originRulesValue.js";
import { runEach } from "./runEach.js";

/** What the system's own keys in the store say. */
export interface HostRecords {
    /** Live hosts, this one included. */
    readonly members: ReadonlyMap<HostId, Member>;
    /** Owner keys of the engines. */
    readonly claims: OwnerClaims;
    /** Software versions of services that are in use, or were until lately, by their keys in the store. */
    readonly recordedVersions: ReadonlyMap<string, RecordedVersion>;
    /** Origin rules of routes, by the routes' names. */
    readonly originRules: ReadonlyMap<string, RecordedRules>;
    /** How often the store has come back from a copy, as far as its keys show. */
    readonly storeEpoch: number;
    /** Prompt parts and requests that are quarantined in the store. */
    readonly quarantined: ReadonlyMap<Suspect, StoredQuarantine>;
    /** How often the system's keys were listed; changes before the last list may have gone unseen. */
    readonly hostKeyLists: number;
    /** Clock reading of the last list of the system's keys, in milliseconds; all changes since have been received. */
    readonly hostKeysListedMs: number;
    /** Calls a listener when a quarantine is set, renewed or lifted in the store. */
    onQuarantine(listener: (suspect: Suspect, isSet: boolean) => void): void;
    /** Calls a listener when the store has lost a quarantine, since it came back from a copy; it still holds. */
    onQuarantineLost(listener: (suspect: Suspect) => void): void;
    /** Calls a listener with the load requests that hosts write to the store for engines' owners. */
    onLoadRequests(listener: (loadRequests: readonly AdapterLoadRequest[]) => void): void;
}

/** The records, and the keys that they follow. */
export interface HostRecordsTask extends HostRecords {
    /** Receives the system's keys and their changes. */
    readonly listener: FeedListener;
    /** Forgets what is gone; called now and then. */
    prune(isKnown: (engine: EngineId) => boolean): void;
}

/** Time for hosts to register again after the store came back from a copy, in milliseconds. */
const REGISTER_GRACE_MS = 2500;

/**
 * Creates the records of the system's own keys.
 *
 * @param context - Clock and log
 * @param onMembers - Called when hosts have come, changed or gone
 * @returns the records, empty
 *
 * @example
 * const records = createHostRecords(context, () => (role = undefined));
 */
export function createHostRecords(
    { clock, log }: { readonly clock: Clock; readonly log: EventLog },
    onMembers: () => void,
): HostRecordsTask {
    const members = new Map<HostId, Member>();
    const claims = createOwnerClaims(clock);
    const quarantined = new Map<Suspect, StoredQuarantine>();
    const recordedVersions = new Map<string, RecordedVersion>();
    const originRules = new Map<string, RecordedRules>();
    const quarantineListeners: ((suspect: Suspect, isSet: boolean) => void)[] = [];
    const quarantineLossListeners: ((suspect: Suspect) => void)[] = [];
    const loadRequestListeners: ((loadRequests: readonly AdapterLoadRequest[]) => void)[] = [];
    /** Hosts whose entries a copy of the store lacks, and until when they may write them again, in milliseconds. */
    const unconfirmedMembers = new Map<HostId, number>();
    let storeEpoch = 0;
    let hostKeyLists = 0;
    let hostKeysListedMs = 0;

    const applyHostItem = (item: StoreItem, isRestored = false): void => {
        const key = parseHostKey(item.key);
        const { epoch } = splitRevision(item.revision);
        storeEpoch = Math.max(storeEpoch, epoch);
        switch (key.kind) {
            case "member": {
                const member = parseMember(key.host, item.value);
                if (member !== undefined) {
                    unconfirmedMembers.delete(key.host);
                    members.set(key.host, member);
                    onMembers();
                    claims.putMember(member);
                }
                return;
            }
            case "owner": {
                const owner = parseOwner(item.value);
                if (owner !== undefined) {
                    const claim = { ...owner, revision: item.revision };
                    if (isRestored) {
                        claims.putRestored(key.engine, claim);
                    }
                    else {
                        claims.put(key.engine, claim);
                    }
                }
                return;
            }
            case "quarantine":
                if (quarantined.get(key.suspect)?.revision !== item.revision) {
                    quarantined.set(key.suspect, { revision: item.revision, sinceMs: clock.nowMs() });
                    quarantineListeners.forEach(listener => listener(key.suspect, true));
                }
                return;
            case "version":
                recordedVersions.set(item.key, { ...key.version, revision: item.revision });
                return;
            case "origin_rules":
                originRules.set(key.route, { revision: item.revision, rules: decodeOriginRules(item.value, epoch) });
                return;
            case "wants":
                loadRequestListeners.forEach(listener => listener(parseLoadRequests(item.value)));
                return;
            case "other":
                return;
        }
    };
    const removeHostKey = (text: string): void => {
        const key = parseHostKey(text);
        switch (key.kind) {
            case "member":
                unconfirmedMembers.delete(key.host);
                members.delete(key.host);
                onMembers();
                return;
            case "owner":
                claims.remove(key.engine);
                return;
            case "quarantine":
                if (quarantined.delete(key.suspect)) {
                    quarantineListeners.forEach(listener => listener(key.suspect, false));
                }
                return;
            case "version":
                recordedVersions.delete(text);
                return;
            case "origin_rules":
                originRules.delete(key.route);
                return;
            case "wants":
            case "other":
                return;
        }
    };
    /**
     * Keeps what this host knows of the system's own keys that a copy of the store lacks: their writers write them again.
     * Only claims are given up: whoever owned an engine claims it anew.
     */
    const keepLost = (present: ReadonlySet<string>): void => {
        const untilMs = clock.nowMs() + REGISTER_GRACE_MS;
        [...members.keys()].filter(host => !present.has(formatMemberKey(host)))
            .forEach(host => unconfirmedMembers.set(host, untilMs));
        [...claims.current.keys()].forEach(engine => claims.remove(engine));
        for (const suspect of [...quarantined.keys()].filter(key => !present.has(formatQuarantineKey(key)))) {
            quarantined.delete(suspect);
            quarantineLossListeners.forEach(listener => listener(suspect));
        }
        [...recordedVersions].filter(([key]) => !present.has(key))
            .forEach(([key, version]) => recordedVersions.set(key, { ...version, revision: 0 }));
    };
    const listener: FeedListener = {
        listed(items, isRestored) {
            const present = new Set(items.map(item => item.key));
            if (isRestored) {
                keepLost(present);
            }
            [
                ...[...members.keys()].filter(host => !unconfirmedMembers.has(host)).map(formatMemberKey),
                ...[...claims.current.keys()].map(formatOwnerKey),
                ...[...quarantined.keys()].map(formatQuarantineKey),
                ...[...originRules.keys()].map(formatOriginRuleKey),
                ...[...recordedVersions].filter(([, { revision }]) => revision !== 0).map(([key]) => key),
            ]
                .filter(key => !present.has(key))
                .forEach(removeHostKey);
            const current = items.filter(item => parseHostKey(item.key).kind !== "wants");
            runEach(log, STEP, current, item => item.key, item => applyHostItem(item, isRestored));
            hostKeyLists += 1;
            hostKeysListedMs = clock.nowMs();
        },
        changed: events =>
            runEach(
                log,
                STEP,
                events,
                readKey,
                event => event.kind === "put" ? applyHostItem(event.item) : removeHostKey(event.key),
            ),
    };
    return {
        members,
        claims,
        recordedVersions,
        originRules,
        get storeEpoch() {
            return storeEpoch;
        },
        quarantined,
        listener,
        get hostKeyLists() {
            return hostKeyLists;
        },
        get hostKeysListedMs() {
            return hostKeysListedMs;
        },
        onQuarantine: onChange => void quarantineListeners.push(onChange),
        onQuarantineLost: onLoss => void quarantineLossListeners.push(onLoss),
        onLoadRequests: onRequests => void loadRequestListeners.push(onRequests),
        prune(isKnown) {
            [...unconfirmedMembers].filter(([, untilMs]) => untilMs <= clock.nowMs())
                .forEach(([host]) => removeHostKey(formatMemberKey(host)));
            claims.prune(host => members.has(host), isKnown);
        },
    };
}

const STEP = "apply host key";

function readKey(event: StoreEvent): string {
    return event.kind === "put" ? event.item.key : event.key;
}
