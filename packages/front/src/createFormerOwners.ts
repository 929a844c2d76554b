import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { joinFormerOwners } from "@fulmarcleat/residency";
import type { FormerOwner, FormerOwnerReply, JoinOptions } from "@fulmarcleat/residency";
import type { PeerClient } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";

/** What is known of the hosts that may have owned an engine last. */
export type LastOwner =
    /** A holder may not know that its claim has ended. */
    | FormerOwnerReply<Member>
    /** They have been asked and have not all replied yet. */
    | { readonly kind: "asked" };

/** Asks the former owners of engines that check no fences whether they still order. */
export interface FormerOwners {
    /** Returns what is known of those who may have owned an engine, and asks them again if that is old. */
    read(engine: EngineId, asked: AskedOwners): LastOwner;
    /** Tells those who may have owned an engine to stop, since there is a claim under a higher fence. */
    stop(engine: EngineId, asked: AskedOwners, fence: number): Promise<FormerOwner>;
}

/** The hosts that may have owned an engine last. */
export interface AskedOwners extends JoinOptions {
    readonly hosts: readonly HostId[];
}

/** What the former owners of an engine have answered. */
interface Answer {
    readonly last: LastOwner;
    /** The hosts that were asked, as one text. */
    readonly hosts: string;
    readonly atMs: number;
}

/** Time after which owners are asked again, in milliseconds. */
const ASK_INTERVAL_MS = 500;
/** Longest wait for a reply, in milliseconds; it includes that for the reply to the owner's last order. */
const REPLY_TIMEOUT_MS = 400;
/** Number of times that an owner without a reply is asked before it counts as out of reach. */
const TRIES = 2;

/**
 * Creates the record of what the former owners of engines say. An owner whose claim has ended may be cut off from the
 * store alone: other hosts still reach it, and it goes on ordering for as long as it has the right to.
 *
 * @param context - Clock, log and metrics
 * @param clusterView - Addresses of hosts, also of those whose entries have ended
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the record, empty
 *
 * @example
 * const formerOwners = createFormerOwners(context, clusterView, () => peers);
 */
export function createFormerOwners(
    { clock, log, metrics }: Pick<FrontContext, "clock" | "log" | "metrics">,
    clusterView: Pick<ClusterView, "claims">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): FormerOwners {
    const answers = new Map<EngineId, Answer>();
    const pending = new Set<EngineId>();
    /** Asks a host once; undefined without a reply. */
    const askOnce = async (
        engine: EngineId,
        member: Member,
        fence: number | undefined,
    ): Promise<FormerOwnerReply<Member> | undefined> => {
        const peers = readPeers();
        if (peers === undefined) {
            return undefined;
        }
        const address = { host: member.host, address: member.ip, port: member.port };
        try {
            const reply = await peers.request(address, "orderRight", { engine, fence }, REPLY_TIMEOUT_MS);
            return reply.kind === "holding" ? { kind: "holding", holder: member } : reply;
        }
        catch (err) {
            metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
            // Without a listener the process that could have ordered has ended.
            return isRefused(err) ? { kind: "stopped", lastOrderAgoMs: 0 } : undefined;
        }
    };
    const askHost = async (
        engine: EngineId,
        host: HostId,
        fence: number | undefined,
    ): Promise<FormerOwnerReply<Member>> => {
        const member = clusterView.claims.findMember(host);
        let last: FormerOwnerReply<Member> | undefined;
        for (let tries = 0; member !== undefined && last === undefined && tries < TRIES; tries += 1) {
            last = await askOnce(engine, member, fence);
        }
        log.write("info", 311, {
            engine,
            peer: host,
            fence,
            reply: last?.kind ?? "none",
            lastOrderAgoMs: last?.kind === "stopped" ? Math.round(last.lastOrderAgoMs) : undefined,
        });
        return last ?? { kind: "unknown" };
    };
    const askAll = async (
        engine: EngineId,
        asked: AskedOwners,
        fence: number | undefined,
    ): Promise<FormerOwnerReply<Member>> =>
        joinFormerOwners(await Promise.all(asked.hosts.map(host => askHost(engine, host, fence))), asked);
    const startAsking = async (engine: EngineId, asked: AskedOwners): Promise<void> => {
        pending.add(engine);
        try {
            const last = await askAll(engine, asked, undefined);
            answers.set(engine, { last, hosts: asked.hosts.join(), atMs: clock.nowMs() });
        }
        finally {
            pending.delete(engine);
        }
    };
    return {
        read(engine, asked) {
            const answer = answers.get(engine);
            const isCurrent = answer?.hosts === asked.hosts.join();
            const ageMs = isCurrent ? clock.nowMs() - answer.atMs : Infinity;
            if (ageMs >= ASK_INTERVAL_MS && !pending.has(engine)) {
                void startAsking(engine, asked);
            }
            if (!isCurrent) {
                return { kind: "asked" };
            }
            return answer.last.kind === "stopped"
                ? { kind: "stopped", lastOrderAgoMs: answer.last.lastOrderAgoMs + ageMs }
                : answer.last;
        },
        async stop(engine, asked, fence) {
            const last = await askAll(engine, asked, fence);
            return last.kind === "stopped" ? last : { kind: "unknown" };
        },
    };
}

function isRefused(err: unknown): boolean {
    const cause = err instanceof ServeError ? err.cause : undefined;
    return cause instanceof Error && "code" in cause && cause.code === "ECONNREFUSED";
}

const INTERNAL = { code: "internal", step: "ask former owner", peer: "self", outcome: "not_run" } as const;
