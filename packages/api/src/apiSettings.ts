import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { listenSchema, peerCaFileSchema, peerKeySchema } from "@fulmarcleat/settings";
import { z } from "zod";

/** Schema of the settings file of an operator API process. */
export const apiSettingsSchema = z.strictObject({
    host: z.string().min(1).transform(text => brandId<HostId>(text)),
    peerKey: peerKeySchema,
    /** PEM file of the CA that signs the gateways' certificates; if not set, peers are called over plain TCP. */
    peerCaFile: peerCaFileSchema,
    /** Address on which operators' requests are accepted. */
    operators: listenSchema,
    kv: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    hostList: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    /** SHA-256 hash of the bootstrap token, which is valid until an Operator may write Operators. */
    firstTokenHash: z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 hash as 64 lower-case hexadecimal digits").optional(),
    /** Interval between two bookmarks on a watch, in milliseconds. */
    bookmarkMs: z.int().min(50).default(5000),
    /** Timeout of a host's status reply, in milliseconds. */
    statusMs: z.int().min(50).default(1000),
    maxBodyBytes: z.int().min(1024).default(1024 * 1024),
    bodyTimeoutMs: z.int().min(100).default(10_000),
    /** Length of the change log at which it is compacted into the configuration's pages, in bytes. */
    compactBytes: z.int().min(1024).max(512 * 1024).default(96 * 1024),
    /** How long a change stays in the log after it was compacted, in milliseconds. */
    keepChangesMs: z.int().min(0).default(5000),
    /** Longest time for requests in flight to finish after SIGTERM, in milliseconds. */
    stopLimitMs: z.int().min(0).default(10_000),
    logLevel: z.int().min(0).max(5).default(3),
});

/** Validated settings of an operator API process. */
export type ApiSettings = z.infer<typeof apiSettingsSchema>;
