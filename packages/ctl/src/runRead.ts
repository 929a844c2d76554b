import type { Resource, ResourceKind } from "@fulmarcleat/resources";
import type { ListBody } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit, CtlTarget } from "./ctlCommand.js";
import { formatTable } from "./formatTable.js";
import { reportRefusal, writeResources } from "./reportReply.js";

/**
 * Shows one resource, with its status where asked.
 *
 * @param context - Client and output
 * @param target - The resource
 * @param withStatus - Whether to show its status too
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
 * Lists every resource of a kind, page by page.
 *
 * @param context - Client and output
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
 * Shows what is at a path as it is.
 *
 * @param context - Client and output
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

interface DecisionBody {
    readonly decisions: readonly {
        readonly atMs: number;
        readonly host: string;
        readonly step: string;
        readonly detail: string;
    }[];
    readonly silent: readonly string[];
}

/**
 * Shows what the hosts decided about a request or an adapter.
 *
 * @param context - Client and output
 * @param about - `request` or `adapter`
 * @param value - Its id or name
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
    const { decisions, silent } = reply.body as DecisionBody;
    if (context.output === "json") {
        context.write(JSON.stringify(reply.body, undefined, 4));
        return CTL_EXIT.done;
    }
    const rows = decisions.map(({ atMs, host, step, detail }) => [new Date(atMs).toISOString(), host, step, detail]);
    formatTable([["TIME", "HOST", "STEP", "DETAIL"], ...rows]).forEach(context.write);
    silent.forEach(host => context.tell(`${host} did not answer`));
    return CTL_EXIT.done;
}

/**
 * Prints changes as they are accepted, and goes on after the API's replacement.
 *
 * @param context - Client and output
 * @param kind - Kind to show, or undefined for all
 * @param after - Last change that is known; the present where undefined
 * @param until - Ends the watch
 * @returns the exit code
 *
 * @example
 * await runWatch(context, "Offer", undefined, signal);
 */
export async function runWatch(
    context: CtlContext,
    kind: ResourceKind | undefined,
    after: number | undefined,
    until: AbortSignal,
): Promise<CtlExit> {
    let from = after;
    while (!until.aborted) {
        const query = from === undefined ? "" : `resourceVersion=${from}`;
        const path = kind === undefined ? `watch?${query}` : `${kind}?watch=true&${query}`;
        try {
            for await (const line of context.client.watch(path)) {
                const event = JSON.parse(line) as { readonly type?: string; readonly resourceVersion?: number };
                if (event.type === undefined || event.type === "ERROR") {
                    context.tell(line);
                    return CTL_EXIT.refused;
                }
                from = event.resourceVersion ?? from;
                if (event.type !== "BOOKMARK") {
                    context.write(line);
                }
            }
        }
        catch (err) {
            context.tell(`the watch broke and starts again: ${err instanceof Error ? err.message : String(err)}`);
        }
        await context.pause(RETRY_MS);
    }
    return CTL_EXIT.done;
}

const RETRY_MS = 500;
