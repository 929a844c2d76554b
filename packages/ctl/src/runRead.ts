import type { Resource, ResourceKind } from "@fulmarcleat/resources";
import type { ListBody } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit, CtlTarget } from "./ctlCommand.js";
import { formatTable } from "./formatTable.js";
import { reportRefusal, writeResources } from "./reportReply.js";

/**
 * Shows one resource and, on request, its status.
 *
 * @param context - API client and output
 * @param target - Kind and name of the resource
 * @param withStatus - Whether to show the status too
 * @returns the exit code
 *
 * @example
 * await runGet(context, { kind: "Offer", name: "levy" }, true);
 */
export async function runGet(context: CtlContext, target: CtlTarget, withStatus: boolean): Promise<CtlExit> {
    const path = `${target.kind}/${encodeURIComponent(target.name)}`;
    const reply = await context.client.send({ method: "GET", path });
    const refused = reportRefusal(context, reply);
    if (refused !== undefined) {
        return refused;
    }
    writeResources(context, [reply.body as Resource]);
    return withStatus ? runShow(context, `${path}/status`) : CTL_EXIT.done;
}

/**
 * Lists all resources of a kind; reads them page by page.
 *
 * @param context - API client and output
 * @param kind - Kind of the resources
 * @returns the exit code
 *
 * @example
 * await runList(context, "Adapter");
 */
export async function runList(context: CtlContext, kind: ResourceKind): Promise<CtlExit> {
    const items: Resource[] = [];
    let after = "";
    do {
        const reply = await context.client.send({ method: "GET", path: `${kind}?continue=${after}` });
        const refused = reportRefusal(context, reply);
        if (refused !== undefined) {
            return refused;
        }
        const body = reply.body as ListBody;
        items.push(...body.items);
        after = body.metadata.continue ?? "";
    }
    while (after !== "");
    writeResources(context, items);
    return CTL_EXIT.done;
}

/**
 * Writes the API's reply for a path as JSON.
 *
 * @param context - API client and output
 * @param path - Path below `/apis/v1/`
 * @returns the exit code
 *
 * @example
 * await runShow(context, "status");
 */
export async function runShow(context: CtlContext, path: string): Promise<CtlExit> {
    const reply = await context.client.send({ method: "GET", path });
    const refused = reportRefusal(context, reply);
    if (refused === undefined) {
        context.write(JSON.stringify(reply.body, undefined, 4));
    }
    return refused ?? CTL_EXIT.done;
}

interface ExplainBody {
    readonly decisions: readonly {
        readonly atMs: number;
        readonly host: string;
        readonly step: string;
        readonly detail: string;
    }[];
    readonly silent: readonly string[];
}

/**
 * Shows the hosts' recorded decisions about a request or an adapter.
 *
 * @param context - API client and output
 * @param about - Whether `value` is a request's id or an adapter's name
 * @param value - Id of the request or name of the adapter
 * @returns the exit code
 *
 * @example
 * await runExplain(context, "request", requestId);
 */
export async function runExplain(
    context: CtlContext,
    about: "request" | "adapter",
    value: string,
): Promise<CtlExit> {
    const path = `explain?${about}=${encodeURIComponent(value)}`;
    const reply = await context.client.send({ method: "GET", path });
    const refused = reportRefusal(context, reply);
    if (refused !== undefined) {
        return refused;
    }
    const { decisions, silent } = reply.body as ExplainBody;
    if (context.output === "json") {
        context.write(JSON.stringify(reply.body, undefined, 4));
        return CTL_EXIT.done;
    }
    const rows = decisions.map(({ atMs, host, step, detail }) => [new Date(atMs).toISOString(), host, step, detail]);
    formatTable([["TIME", "HOST", "STEP", "DETAIL"], ...rows]).forEach(context.write);
    silent.forEach(host => context.writeMessage(`${host} did not answer`));
    return CTL_EXIT.done;
}

/**
 * Prints changes as they are accepted. Resumes after the last change received if the connection ends, for instance
 * when the API restarts.
 *
 * @param context - API client and output
 * @param kind - Kind whose changes are printed; undefined for all kinds
 * @param after - Sequence number of the last known change; undefined starts with the next change
 * @param signal - Ends the watch
 * @returns the exit code: `refused` if the API refuses the watch or no longer has the changes
 *
 * @example
 * await runWatch(context, "Offer", undefined, signal);
 */
export async function runWatch(
    context: CtlContext,
    kind: ResourceKind | undefined,
    after: number | undefined,
    signal: AbortSignal,
): Promise<CtlExit> {
    let lastSeq = after;
    while (!signal.aborted) {
        const query = lastSeq === undefined ? "" : `resourceVersion=${lastSeq}`;
        const path = kind === undefined ? `watch?${query}` : `${kind}?watch=true&${query}`;
        try {
            for await (const line of context.client.watch(path)) {
                const event = JSON.parse(line) as { readonly type?: string; readonly resourceVersion?: number };
                if (event.type === undefined || event.type === "ERROR") {
                    context.writeMessage(line);
                    return CTL_EXIT.refused;
                }
                lastSeq = event.resourceVersion ?? lastSeq;
                if (event.type !== "BOOKMARK") {
                    context.write(line);
                }
            }
        }
        catch (err) {
            context.writeMessage(
                `the watch was interrupted and is resumed: ${err instanceof Error ? err.message : String(err)}`,
            );
        }
        await context.sleep(RETRY_MS);
    }
    return CTL_EXIT.done;
}

/** Delay before an ended watch is resumed, in milliseconds. */
const RETRY_MS = 500;
