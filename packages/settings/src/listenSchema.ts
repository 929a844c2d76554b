import * as z from "zod";

/** Schema of a listener's TLS certificate and key, as paths of PEM files. */
export const tlsSchema = z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) });

/** Schema of a listen address; with port 0 the operating system chooses the port. */
export const listenSchema = z.strictObject({
    host: z.string().min(1),
    port: z.int().min(0).max(65535),
    tls: tlsSchema.optional(),
});

/** Listen address of a process. */
export type ListenSettings = z.infer<typeof listenSchema>;

/** Schema of the path of a PEM file with the certificate authority that signs the peers' certificates. */
export const peerCaFileSchema = z.string().min(1).optional();

/** Schema of the shared key by which the system's processes authenticate to each other. */
export const peerKeySchema = z.string().min(32, "at least 32 characters");
