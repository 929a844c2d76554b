import type { ListenSettings } from "./listenSchema.js";
import { readPem } from "./readPem.js";

/** Certificate and key of a listener as PEM text. */
export interface TlsText {
    readonly cert: string;
    readonly key: string;
}

/**
 * Reads the certificate and key files of a listener.
 *
 * @param tls - Paths of the PEM files; undefined for a listener without TLS
 * @returns the PEM texts, or undefined for a listener without TLS
 * @throws ServeError `settings_invalid` if a file can't be read
 *
 * @example
 * const tls = await readTls(cfg.callers.tls);
 */
export async function readTls(tls: ListenSettings["tls"]): Promise<TlsText | undefined> {
    return tls === undefined ? undefined : { cert: await readPem(tls.certFile), key: await readPem(tls.keyFile) };
}
