import type { Resource } from "@fulmarcleat/resources";
import type { ApiReply } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit } from "./ctlCommand.js";
import { formatTable } from "./formatTable.js";

interface RefusedBody {
    readonly error?: { readonly code: string; readonly message: string; readonly request_id: string };
    readonly current?: Resource;
}

const STATUS_CONFLICT = 409;
const FIRST_ERROR_STATUS = 400;

/**
 * Tells why the API refused, if it did.
 *
 * @param context - Where to tell it
 * @param reply - The API's answer
 * @returns the exit code, or undefined where the API did not refuse
 *
 * @example
 * const refused = reportRefusal(context, reply);
 */
export function reportRefusal(context: CtlContext, reply: ApiReply): CtlExit | undefined {
    if (reply.status < FIRST_ERROR_STATUS) {
        return undefined;
    }
    const { error, current } = reply.body as RefusedBody;
    context.tell(`${error?.code ?? reply.status}: ${error?.message ?? ""} (request ${error?.request_id ?? ""})`);
    if (current !== undefined) {
        context.tell(`present state: ${JSON.stringify(current)}`);
    }
    if (error?.code === "kv_unknown") {
        return CTL_EXIT.unknown;
    }
    return reply.status === STATUS_CONFLICT ? CTL_EXIT.conflict : CTL_EXIT.refused;
}

/**
 * Writes resources as a table or as JSON.
 *
 * @param context - Where to write, and how
 * @param resources - The resources
 * @returns nothing
 *
 * @example
 * writeResources(context, body.items);
 */
export function writeResources(context: CtlContext, resources: readonly Resource[]): void {
    if (context.output === "json") {
        context.write(JSON.stringify(resources, undefined, 4));
        return;
    }
    const rows = resources.map(({ kind, metadata }) => [
        kind,
        metadata.name,
        String(metadata.generation),
        String(metadata.resourceVersion),
    ]);
    formatTable([["KIND", "NAME", "GENERATION", "VERSION"], ...rows]).forEach(context.write);
}
