import type { KnownEngine } from "@fulmarcleat/directory";
import type { EngineId } from "@fulmarcleat/ids";
import type { BufferedAnswer } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import { FIRST_SERVER_ERROR } from "./describeHealth.js";

/**
 * Tells whether a failed answer of an engine may be replaced by another engine's: only for safe requests, while another
 * engine is left.
 *
 * @param request - The client's request
 * @param answer - The engine's answer
 * @param tried - Engines that the request was sent to before
 * @param known - The engine that answered
 * @param engines - Engines of the service that may get work
 * @returns whether the request may go to another engine
 *
 * @example
 * const isFinal = !mayFailOver(request, answer, progress.tried, known, chooser.list(request.service));
 */
export function mayFailOver(
    request: ClientRequest,
    { head }: BufferedAnswer,
    tried: ReadonlySet<EngineId>,
    known: KnownEngine,
    engines: readonly KnownEngine[],
): boolean {
    const used = new Set(tried).add(known.entry.id);
    return request.route.kind === "safe" && head.status >= FIRST_SERVER_ERROR && used.size < request.route.maxEngines
        && engines.some(other => !used.has(other.entry.id));
}
