import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { listenSchema, peerCaFileSchema, peerKeySchema } from "@fulmarcleat/settings";
import { z } from "zod";

/** Settings of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
    host: z.string().min(1).transform(text => brandId<HostId>(text)),
    failureDomain: z.string().min(1).transform(text => brandId<FailureDomain>(text)),
    peerKey: peerKeySchema,
    /** Where callers connect. */
    callers: listenSchema,
    /** Where the system's other processes connect. */
    peers: listenSchema,
    /** Authority of the other processes' certificates; without it they are reached by plain TCP. */
    peerCaFile: peerCaFileSchema,
    kv: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    hostList: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    /** Keyed requests. */
    keyed: z.strictObject({
        /** How long a key is remembered. */
        retentionMs: z.int().min(60_000).default(86_400_000),
        /** Pages in the key-value service; the same on every host. */
        partitions: z.int().min(1).max(4096).default(64),
        /** How long claims are gathered for one write. */
        gatherMs: z.int().min(0).max(1000).default(5),
        /** How long ends wait for a write that carries them. */
        endMs: z.int().min(10).max(10_000).default(500),
        /** Longest wait for a claim. */
        waitMs: z.int().min(100).default(3000),
        /** Memory for first answers. */
        keptAnswerBytes: z.int().min(0).default(16_777_216),
    }).prefault({}),
    /** How a newer configuration spreads among the hosts of a failure domain. */
    configSpread: z.strictObject({
        /** How many hosts of each failure domain watch the key-value service. */
        relaysPerDomain: z.int().min(1).default(8),
        /** How many peers each host pushes to. */
        fanOut: z.int().min(1).default(8),
        /** Wait before the first repeat of a push, in milliseconds. */
        firstRepeatMs: z.int().min(10).default(300),
        /** Time between two comparisons with the peers, in milliseconds. */
        compareMs: z.int().min(50).default(1000),
    }).prefault({}),
    helloMs: z.int().min(50).default(1000),
    silenceMs: z.int().min(100).default(5000),
    leaseMs: z.int().min(1000).default(10_000),
    claimMs: z.int().min(50).default(1000),
    reportMs: z.int().min(50).default(500),
    orderMs: z.int().min(100).default(10_000),
    connectTimeoutMs: z.int().min(50).default(1000),
    /** Longest wait for an engine to accept a request. */
    openTimeoutMs: z.int().min(50).default(5000),
    streamSilenceMs: z.int().min(100).default(10_000),
    maxBodyBytes: z.int().min(1024).default(4 * 1024 * 1024),
    headersTimeoutMs: z.int().min(50).default(10_000),
    bodyTimeoutMs: z.int().min(100).default(10_000),
    /** Longest time for running answers to finish after SIGTERM. */
    stopLimitMs: z.int().min(0).default(300_000),
    logLevel: z.int().min(0).max(5).default(3),
});

/** Settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
