import type { Resource } from "@fulmarcleat/resources";
import type { ApiReply } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit } from "./ctlCommand.js";
import { formatTable } from "./formatTable.js";

interface ErrorBody {
    readonly error?: { readonly code: string; readonly message: string; readonly request_id: string };
    readonly current?: Resource;
}

const STATUS_CONFLICT = 409;
const FIRST_ERROR_STATUS = 400;

/**
 * Writes an error reply of the API to standard error.
 *
 * @param context - Output of the command
 * @param reply - Reply of the API, an error or not
 * @returns the exit code for the error, or undefined if the reply is no error
 *
 * @example
 * const refused = reportRefusal(context, reply);
 */
export function reportRefusal(context: CtlContext, reply: ApiReply): CtlExit | undefined {
    if (reply.status < FIRST_ERROR_STATUS) {
        return undefined;
    }
    const { error, current } = reply.body as ErrorBody;
    context.writeMessage(
        `${error?.code ?? reply.status}: ${error?.message ?? ""} (request ${error?.request_id ?? ""})`,
    );
    if (current !== undefined) {
        context.writeMessage(`current state: ${JSON.stringify(current)}`);
    }
    if (error?.code === "kv_unknown") {
        return CTL_EXIT.unknown;
    }
    return reply.status === STATUS_CONFLICT ? CTL_EXIT.conflict : CTL_EXIT.refused;
}

/**
 * Writes resources as a table or as JSON.
 *
 * @param context - Output of the command and its format
 * @param resources - Resources to write, in this order
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
