import type { Suspects } from "@fulmarcleat/dispatch";
import type { ClientRequest } from "./clientRequest.js";

/**
 * Lists what of a request may crash engines: the shared parts of its prompt and its digest.
 *
 * @param request - The client's request
 * @returns the suspects; none if the prompt shares no parts and the hosts' shared key is not known
 *
 * @example
 * const quarantined = quarantine.find(listSuspects(request));
 */
export function listSuspects({ head, digest }: Pick<ClientRequest, "digest" | "head">): Suspects {
    const parts = head.sharedParts ?? [];
    return digest === undefined ? parts : [...parts, digest];
}
