import type { RateLimit } from "@fulmarcleat/directory";
import type { AccountName, CancelTimer, HostId } from "@fulmarcleat/ids";
import type { AccountGrantReply, AccountGrantRequest, PeerClient } from "@fulmarcleat/wire";
import type { ClusterView } from "../createClusterView.js";
import type { FrontContext } from "../frontContext.js";
import { sendToPeer } from "../sendToPeer.js";
import type { AccountGranter } from "./createAccountGranter.js";
import type { GranterRanks } from "./createGranterRanks.js";

/** Exchanges between the hosts that ask for grants and those that give them. */
export interface GrantExchange {
    /** Asks the hosts that may grant, in turn; undefined if none of them replies. */
    ask(limit: RateLimit, request: AccountGrantRequest): Promise<AccountGrantReply | undefined>;
    /** Handles another host's request. */
    handle(request: AccountGrantRequest, from: HostId): Promise<AccountGrantReply>;
    /** Returns a cost that was granted at `grantedMs` to the host that granted it. */
    sendReturn(account: AccountName, cost: number, grantedMs: number, reply: AccountGrantReply): void;
}

/** Wait for the granter's reply, in milliseconds; replies take 1 to 4 ms, and 40 ms at a host that is briefly busy. */
const GRANTER_TIMEOUT_MS = 40;
/** Wait for the substitute's reply, in milliseconds; it may have to wait for the granter itself. */
const SUBSTITUTE_TIMEOUT_MS = 80;
/** Time for which a host that did not reply is not asked, in milliseconds. */
const UNREACHABLE_MS = 500;
/** The same at a host that asks the granter for others, so that a granter that is back is found soon, in milliseconds. */
const RELAY_UNREACHABLE_MS = 200;
/** Age of the last reply of any host up to which a granter takes itself as connected, in milliseconds. */
const CONTACT_MS = 150;
/** Longest time for which a request waits for a decision, in milliseconds. */
export const MAX_DECISION_MS = GRANTER_TIMEOUT_MS + SUBSTITUTE_TIMEOUT_MS;

/**
 * Creates the exchanges of grants.
 *
 * @param context - Clock, metrics and name of this host
 * @param clusterView - Live hosts
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param ranks - The hosts that may grant for an account
 * @param granter - The buckets of the accounts that this host grants for
 * @param readLimit - Returns the limit of an account in this host's configuration
 * @returns the exchanges
 *
 * @example
 * const exchange = createGrantExchange(context, clusterView, () => peers, ranks, granter, readLimit);
 */
export function createGrantExchange(
    { clock, deployment, metrics }: Pick<FrontContext, "clock" | "deployment" | "metrics">,
    clusterView: Pick<ClusterView, "members">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    ranks: Pick<GranterRanks, "list">,
    granter: AccountGranter,
    readLimit: (account: AccountName) => RateLimit | undefined,
): GrantExchange {
    const self = deployment.host;
    const peerContext = { metrics, readPeers };
    /** Clock readings at which hosts failed to reply since their last reply, in milliseconds. */
    const failedMs = new Map<HostId, number>();
    /** Clock reading when the last request was sent that a host has replied to, in milliseconds. */
    let contactMs = -Infinity;
    let lostContactMs = -Infinity;

    const isReachable = (host: HostId, unreachableMs: number): boolean =>
        clock.nowMs() - (failedMs.get(host) ?? -Infinity) >= unreachableMs;

    /** Sends a request and waits for a limited time; a reply that comes later goes to `onLate`. */
    const send = async (
        host: HostId,
        request: AccountGrantRequest,
        timeoutMs: number,
        onLate: (reply: AccountGrantReply) => void = () => undefined,
    ): Promise<AccountGrantReply | undefined> => {
        const member = clusterView.members.get(host);
        if (member === undefined) {
            return undefined;
        }
        const sentMs = clock.nowMs();
        let isOver = false;
        // The exchange itself keeps the longer time-out, since its end closes the connection that others use too.
        const exchange = sendToPeer(peerContext, member, "accountGrant", request).then(reply => {
            if (reply !== undefined) {
                failedMs.delete(host);
                contactMs = Math.max(contactMs, sentMs);
                if (isOver) {
                    onLate(reply);
                }
            }
            return reply;
        });
        let cancelTimer: CancelTimer = () => undefined;
        const timeout = new Promise<undefined>(resolve => {
            cancelTimer = clock.setTimer(timeoutMs, () => resolve(undefined));
        });
        const reply = await Promise.race([exchange, timeout]);
        cancelTimer();
        isOver = true;
        if (reply === undefined) {
            failedMs.set(host, clock.nowMs());
        }
        return reply;
    };
    /** As another host than the granter, passes a batch on to the granter. */
    const relay = async (first: HostId, request: AccountGrantRequest): Promise<AccountGrantReply | undefined> => {
        if (!isReachable(first, RELAY_UNREACHABLE_MS)) {
            return undefined;
        }
        const interim = granter.readInterim(request.account) ?? request.interim;
        const reply = await send(
            first,
            { ...request, role: "relayed", ...(interim === undefined ? {} : { interim }) },
            GRANTER_TIMEOUT_MS,
            () => granter.release(request.account, interim),
        );
        if (reply !== undefined) {
            granter.release(request.account, interim);
        }
        return reply;
    };
    const sendReturn = (account: AccountName, cost: number, grantedMs: number, reply: AccountGrantReply): void => {
        const returned = { account, cost, agoMs: Math.round(clock.nowMs() - grantedMs), period: reply.period };
        const member = clusterView.members.get(reply.by);
        if (reply.by === self) {
            granter.giveBack(returned);
        }
        else if (member !== undefined) {
            void sendToPeer(peerContext, member, "accountReturn", returned);
        }
    };
    /** Whether this host, as the granter, is connected to others, so that none of them grants in its place. */
    const hasContact = async (account: AccountName, others: readonly HostId[]): Promise<boolean> => {
        const nowMs = clock.nowMs();
        if (others.length === 0 || nowMs - contactMs <= CONTACT_MS) {
            return true;
        }
        if (nowMs - lostContactMs < RELAY_UNREACHABLE_MS) {
            return false;
        }
        const contact: AccountGrantRequest = { account, costs: [], batch: 0, role: "contact" };
        const replies = others.map(async host => {
            const reply = await send(host, contact, GRANTER_TIMEOUT_MS);
            if (reply === undefined) {
                throw new Error("no reply");
            }
            if (reply.interim !== undefined) {
                granter.merge(account, reply.interim);
            }
        });
        try {
            await Promise.any(replies);
            return true;
        }
        catch {
            lostContactMs = clock.nowMs();
            return false;
        }
    };
    /** Asks for grants; undefined if no host that may grant replies. */
    const ask = async (limit: RateLimit, request: AccountGrantRequest): Promise<AccountGrantReply | undefined> => {
        const { account } = request;
        const sentMs = clock.nowMs();
        const [first, second, third] = ranks.list(account);
        if (first === undefined) {
            return undefined;
        }
        const own = { account, limit, costs: request.costs, owed: request.owed ?? 0, host: self, batch: request.batch };
        if (first === self) {
            const others = [second, third].filter(host => host !== undefined);
            return await hasContact(account, others) ? granter.decide(own, "granter") : undefined;
        }
        /** Replies by who has charged the batch, since a batch that was relayed has been charged once. */
        const charged = new Set<string>();
        const formatCharge = ({ by, period }: AccountGrantReply): string => `${by}/${period}`;
        /** Returns what a reply has granted that came too late to be used. */
        const settleLate = (reply: AccountGrantReply): void => {
            const cost = request.costs.slice(0, reply.granted).reduce((sum, each) => sum + each, 0);
            if (reply.via !== "none" && !charged.has(formatCharge(reply)) && cost > 0) {
                metrics.count("account_grants_total", { reply: "late" });
                sendReturn(account, cost, sentMs, reply);
            }
            charged.add(formatCharge(reply));
        };
        let isDecided = false;
        let decideLate: (reply: AccountGrantReply) => void = () => undefined;
        const lateReply = new Promise<AccountGrantReply>(resolve => (decideLate = resolve));
        /** A late reply of the granter still decides if the substitute has not replied yet. */
        const onLate = (reply: AccountGrantReply): void =>
            isDecided || reply.via === "none" ? settleLate(reply) : decideLate(reply);
        const askInTurn = async (): Promise<AccountGrantReply | undefined> => {
            if (isReachable(first, UNREACHABLE_MS)) {
                const reply = await send(first, request, GRANTER_TIMEOUT_MS, onLate);
                if (reply !== undefined) {
                    return reply;
                }
            }
            if (second === self) {
                const interim = granter.readInterim(account);
                const witnessed = {
                    ...request,
                    role: "witness",
                    ...(interim === undefined ? {} : { interim }),
                } as const;
                const reply = third === undefined
                    ? undefined
                    : await send(third, witnessed, SUBSTITUTE_TIMEOUT_MS, onLate);
                if (reply?.via === "granter") {
                    granter.release(account, interim);
                }
                return third === undefined || reply?.via === "none" ? granter.decide(own, "substitute") : reply;
            }
            return second === undefined || !isReachable(second, UNREACHABLE_MS)
                ? undefined
                : await send(second, { ...request, role: "substitute" }, SUBSTITUTE_TIMEOUT_MS, onLate);
        };
        const inTurn = askInTurn();
        const reply = await Promise.race([inTurn, lateReply]);
        const decision = reply?.via === "none" ? undefined : reply;
        isDecided = true;
        if (decision !== undefined) {
            charged.add(formatCharge(decision));
        }
        void inTurn.then(other => {
            if (other !== undefined && other !== decision) {
                settleLate(other);
            }
        });
        if (decision?.via === "substitute" && decision.by === second) {
            // The granter is asked again once its substitute has reached it, so that it first learns what was granted.
            failedMs.set(first, clock.nowMs());
        }
        return decision;
    };
    return {
        ask,
        sendReturn,
        async handle(request, from) {
            const { account, costs, owed, batch, role, interim } = request;
            const host = request.host ?? from;
            const [first] = ranks.list(account);
            const none = { via: "none", granted: 0, readyInMs: 0, used: 0, by: self, period: 0 } as const;
            if (role === "contact") {
                const own = granter.readInterim(account);
                return { ...none, ...(own === undefined ? {} : { interim: own }) };
            }
            const limit = readLimit(account);
            if (limit === undefined) {
                // This host's configuration may be older than the sender's.
                return none;
            }
            const own = { account, limit, costs, owed: owed ?? 0, host, batch };
            if (first === undefined || first === self || role === "relayed") {
                if (interim !== undefined) {
                    granter.merge(account, interim);
                }
                return granter.decide(own, "granter");
            }
            const reply = await relay(first, { ...request, host });
            if (reply !== undefined && reply.via !== "none") {
                return reply;
            }
            switch (role) {
                case "granter":
                case "substitute":
                    return granter.decide(own, "substitute");
                case "witness":
                    return none;
            }
        },
    };
}
