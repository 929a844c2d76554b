import type { EngineId, HostId, ServiceName } from "@fulmarcleat/ids";
import type { EngineReachReply, PeerClient } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import { sendToPeer } from "./sendToPeer.js";

/** What other hosts say of the engines that they hear from. */
export interface ReachSurvey {
    /** Asks other hosts which engines of a service they hear from, unless they were asked lately. */
    refresh(service: ServiceName): Promise<void>;
    /** Clock reading when another host last had bytes from an engine, in milliseconds; undefined if none said so. */
    readHeardMs(engine: EngineId): number | undefined;
    /** Lists hosts that hear from engines of a service, the least busy first. */
    listHelpers(service: ServiceName): readonly Member[];
    /** Asks some other hosts to probe an engine; returns whether it runs as seen from one of them. */
    probe(engine: EngineId): Promise<boolean>;
    forget(engine: EngineId): void;
}

/** A host's last reply about one service. */
interface HostReach {
    readonly atMs: number;
    /** Clock reading of the last bytes from any engine of the service, in milliseconds. */
    readonly heardMs: number;
    readonly running: number;
}

interface ServiceSurvey {
    readonly hosts: Map<HostId, HostReach>;
    askedMs: number;
    pending: Promise<void> | undefined;
}

/** Number of hosts that are asked at once. */
const ASKED_HOSTS = 4;
/** Number of hosts that are asked to probe an engine. */
const PROBING_HOSTS = 3;
/** Most times that further hosts are asked because those before hear from no engine. */
const MAX_ROUNDS = 3;
/** Age from which replies are renewed, in milliseconds. */
const RENEW_AFTER_MS = 500;
/** Age up to which a reply, and what it says that was heard, counts, in milliseconds. */
const VALID_MS = 1000;

/**
 * Creates the survey of the engines that other hosts hear from. It sends no message until it is refreshed.
 *
 * @param context - Clock, random numbers, metrics and this host's name
 * @param clusterView - Live hosts
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the survey, empty
 *
 * @example
 * const survey = createReachSurvey(context, clusterView, () => peers);
 */
export function createReachSurvey(
    context: Pick<FrontContext, "clock" | "deployment" | "metrics" | "random">,
    clusterView: Pick<ClusterView, "members">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): ReachSurvey {
    const { clock, deployment, metrics, random } = context;
    const peerContext = { metrics, readPeers };
    const surveys = new Map<ServiceName, ServiceSurvey>();
    const heardMs = new Map<EngineId, number>();

    const open = (service: ServiceName): ServiceSurvey => {
        const existing = surveys.get(service) ?? { hosts: new Map(), askedMs: -Infinity, pending: undefined };
        surveys.set(service, existing);
        return existing;
    };
    /** Lists the other hosts in random order, those of this host's failure domain last: they may share its fate. */
    const orderPeers = (): readonly Member[] =>
        [...clusterView.members.values()]
            .filter(member => member.host !== deployment.host && !member.isLeaving)
            .map(member => ({ member, rank: (member.domain === deployment.domain ? 1 : 0) + random.next() }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ member }) => member);
    const record = (survey: ServiceSurvey, { host }: Member, reply: EngineReachReply, askedMs: number): boolean => {
        for (const [engine, agoMs] of reply.heardAgoMs) {
            heardMs.set(engine, Math.max(heardMs.get(engine) ?? -Infinity, askedMs - agoMs));
        }
        const agoMs = Math.min(...reply.heardAgoMs.map(([, ms]) => ms));
        survey.hosts.set(host, { atMs: clock.nowMs(), heardMs: askedMs - agoMs, running: reply.running });
        return agoMs < VALID_MS;
    };
    const ask = async (service: ServiceName, survey: ServiceSurvey): Promise<void> => {
        let left = orderPeers();
        for (let round = 0; round < MAX_ROUNDS; round += 1) {
            const asked = left.slice(0, ASKED_HOSTS);
            const askedMs = clock.nowMs();
            const replies = await Promise.all(asked.map(async member => {
                const reply = await sendToPeer(peerContext, member, "engineReach", { service });
                return { named: reply?.helpers ?? [], hears: reply && record(survey, member, reply, askedMs) };
            }));
            if (replies.some(({ hears }) => hears) || asked.length === 0) {
                return;
            }
            const named = new Set(replies.flatMap(reply => reply.named));
            const others = left.slice(ASKED_HOSTS);
            left = [...others.filter(({ host }) => named.has(host)), ...others.filter(({ host }) => !named.has(host))];
        }
    };
    return {
        refresh(service) {
            const survey = open(service);
            if (survey.pending === undefined && clock.nowMs() - survey.askedMs >= RENEW_AFTER_MS) {
                survey.pending = ask(service, survey).finally(() => {
                    survey.askedMs = clock.nowMs();
                    survey.pending = undefined;
                });
            }
            return survey.pending ?? Promise.resolve();
        },
        readHeardMs: engine => heardMs.get(engine),
        listHelpers(service) {
            const sinceMs = clock.nowMs() - VALID_MS;
            return [...open(service).hosts]
                .filter(([, reach]) => reach.atMs >= sinceMs && reach.heardMs >= sinceMs)
                .map(([host, reach]) => ({ host, cost: reach.running + random.next() }))
                .sort((a, b) => a.cost - b.cost)
                .map(({ host }) => clusterView.members.get(host))
                .filter(member => member !== undefined && !member.isLeaving && member.forwardPort !== undefined)
                .filter(member => member !== undefined);
        },
        async probe(engine) {
            const replies = orderPeers().slice(0, PROBING_HOSTS).map(async member => {
                const reply = await sendToPeer(peerContext, member, "engineProbe", { engine });
                return reply?.probe === "running" || Promise.reject(new Error(`${member.host} doesn't reach it`));
            });
            // It rejects only if no host reaches the engine.
            return Promise.any(replies).catch(() => false);
        },
        forget: engine => void heardMs.delete(engine),
    };
}
