import * as z from "zod";

/** Certificate and key of a listener, as PEM files. */
export const tlsSchema = z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) });

/** Address on which a process listens; port 0 lets the machine choose. */
export const listenSchema = z.strictObject({
    host: z.string().min(1),
    port: z.int().min(0).max(65535),
    tls: tlsSchema.optional(),
});

/** Address on which a process listens. */
export type ListenSettings = z.infer<typeof listenSchema>;

/** File with the certificate authority that the peers' certificates are checked against; PEM. */
export const peerCaFileSchema = z.string().min(1).optional();

/** Key with which the system's processes authenticate to each other. */
export const peerKeySchema = z.string().min(32, "at least 32 characters");
