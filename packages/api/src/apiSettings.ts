import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { listenSchema, peerKeySchema } from "@fulmarcleat/settings";
import { z } from "zod";

/** Settings of an operators' API process. */
export const apiSettingsSchema = z.strictObject({
    host: z.string().min(1).transform(text => brandId<HostId>(text)),
    peerKey: peerKeySchema,
    /** Where operators connect. */
    operators: listenSchema,
    kv: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    hostList: z.strictObject({ url: z.url(), timeoutMs: z.int().min(10).default(2000) }),
    /** SHA-256 hash of the token that counts until an Operator may write Operators. */
    firstTokenHash: z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 hash as 64 lower-case hexadecimal digits").optional(),
    /** Time between two bookmarks on a watch, in milliseconds. */
    bookmarkMs: z.int().min(50).default(5000),
    /** Longest wait for a host's status, in milliseconds. */
    statusMs: z.int().min(50).default(1000),
    maxBodyBytes: z.int().min(1024).default(1024 * 1024),
    bodyTimeoutMs: z.int().min(100).default(10_000),
    /** Length at which the log of changes is written into its pages, in bytes. */
    compactBytes: z.int().min(1024).max(512 * 1024).default(96 * 1024),
    /** How long a change stays in the log after that, in milliseconds. */
    keepChangesMs: z.int().min(0).default(5000),
    /** Longest time for running answers to finish after SIGTERM. */
    stopLimitMs: z.int().min(0).default(10_000),
    logLevel: z.int().min(0).max(5).default(3),
});

/** Settings of an operators' API process. */
export type ApiSettings = z.infer<typeof apiSettingsSchema>;
