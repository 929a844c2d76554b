import type { ListenSettings } from "./listenSchema.js";
import { readPem } from "./readPem.js";

/** Certificate and key of a listener, as PEM text. */
export interface TlsText {
    readonly cert: string;
    readonly key: string;
}

/**
 * Reads the certificate and key of a listener.
 *
 * @param tls - The files that the settings name
 * @returns their text, undefined where the listener has none
 * @throws ServeError `settings_invalid`
 *
 * @example
 * const tls = await readTls(cfg.callers.tls);
 */
export async function readTls(tls: ListenSettings["tls"]): Promise<TlsText | undefined> {
    return tls === undefined ? undefined : { cert: await readPem(tls.certFile), key: await readPem(tls.keyFile) };
}
