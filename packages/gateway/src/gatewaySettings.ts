import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { listenSchema, peerCaFileSchema, peerKeySchema } from "@fulmarcleat/settings";
import { z } from "zod";

/** Schema of a gateway process's settings. */
export const gatewaySettingsSchema = z.strictObject({
    host: z.string().min(1).transform(text => brandId<HostId>(text)),
    failureDomain: z.string().min(1).transform(text => brandId<FailureDomain>(text)),
    peerKey: peerKeySchema,
    /** Listen address for callers. */
    callers: listenSchema,
    /** Listen address for other processes of the system. */
    peers: listenSchema,
    /** Certificate authority of the other processes; if absent, connections to them use plain TCP. */
    peerCaFile: peerCaFileSchema,
    /** Key-value service and the time limit of a call, in milliseconds. */
    kv: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    /** Host list service and the time limit of a call, in milliseconds. */
    hostList: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    /** Requests with an idempotency key. */
    keyed: z.strictObject({
        /** How long a key is stored, in milliseconds. */
        retentionMs: z.int().min(60_000).default(86_400_000),
        /** Number of claim pages in the key-value service; must be the same on all hosts. */
        partitions: z.int().min(1).max(4096).default(64),
        /** How long claims are batched into one write, in milliseconds. */
        gatherMs: z.int().min(0).max(1000).default(5),
        /** Maximum delay before the outcomes of claims are written, in milliseconds. */
        endMs: z.int().min(10).max(10_000).default(500),
        /** Maximum wait for the reply to a claim, in milliseconds. */
        waitMs: z.int().min(100).default(3000),
        /** Memory for stored answers of keyed requests, in bytes. */
        keptAnswerBytes: z.int().min(0).default(16_777_216),
    }).prefault({}),
    /** Propagation of configuration changes among the hosts of a failure domain. */
    configSpread: z.strictObject({
        /** Number of hosts per failure domain that watch the key-value service. */
        relaysPerDomain: z.int().min(1).default(8),
        /** Number of peers that each host pushes changes to. */
        fanOut: z.int().min(1).default(8),
        /** Delay before an unacknowledged push is first repeated, in milliseconds. */
        firstRepeatMs: z.int().min(10).default(300),
        /** Interval between two comparisons with the peers, in milliseconds. */
        compareMs: z.int().min(50).default(1000),
    }).prefault({}),
    /** Interval between two hello messages to a peer, in milliseconds. */
    helloMs: z.int().min(50).default(1000),
    /** Time without data after which a peer is unresponsive, and timeout of most peer requests, in milliseconds. */
    silenceMs: z.int().min(100).default(5000),
    /** Duration of the host's session lease, in milliseconds. */
    leaseMs: z.int().min(1000).default(10_000),
    /** Interval between two attempts to claim engines, in milliseconds. */
    claimMs: z.int().min(50).default(1000),
    /** Interval between two reports read from an owned engine, in milliseconds. */
    reportMs: z.int().min(50).default(500),
    /** Time limit of a load or unload order to an engine, in milliseconds. */
    orderMs: z.int().min(100).default(10_000),
    /** Time limit for connecting to an engine or plain service, in milliseconds. */
    connectTimeoutMs: z.int().min(50).default(1000),
    /** Time limit for an engine to accept a request, in milliseconds. */
    openTimeoutMs: z.int().min(50).default(5000),
    /** Time without data after which an engine's stream counts as broken, in milliseconds. */
    streamSilenceMs: z.int().min(100).default(10_000),
    /** Maximum size of a request body, in bytes. */
    maxBodyBytes: z.int().min(1024).default(4 * 1024 * 1024),
    /** Maximum time to receive a request's headers, in milliseconds. */
    headersTimeoutMs: z.int().min(50).default(10_000),
    /** Maximum time to receive a request body, in milliseconds. */
    bodyTimeoutMs: z.int().min(100).default(10_000),
    /** Maximum time for running requests to finish after SIGTERM, in milliseconds. */
    stopLimitMs: z.int().min(0).default(300_000),
    /** Most verbose level that the event log writes, from 0 to 5. */
    logLevel: z.int().min(0).max(5).default(3),
});

/** Validated settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
