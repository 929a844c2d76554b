import type { Resource } from "@fulmarcleat/resources";
import { isDeepStrictEqual } from "node:util";
import type { ApiReply } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit, CtlTarget } from "./ctlCommand.js";
import { reportRefusal } from "./reportReply.js";

const STATUS_NOT_FOUND = 404;
const WAIT_STEP_MS = 200;

/**
 * Creates or replaces resources in order; stops at the first that is refused.
 *
 * @param context - Client and output
 * @param resources - The resources
 * @param isDryRun - Whether only to check them
 * @returns the exit code
 *
 * @example
 * await runApply(context, resources, false);
 */
export async function runApply(
    context: CtlContext,
    resources: readonly Resource[],
    isDryRun: boolean,
): Promise<CtlExit> {
    for (const resource of resources) {
        const reply = await applyOne(context, resource, isDryRun ? "?dryRun=true" : "");
        const refused = reportRefusal(context, reply);
        if (refused !== undefined) {
            context.tell(`${describe(resource)} was refused; what follows it in the file was not tried`);
            return refused;
        }
        const { metadata } = reply.body as Resource;
        const done = reply.changed ? `accepted as version ${metadata.resourceVersion}` : "unchanged";
        context.write(`${describe(resource)} ${isDryRun ? "would be " : ""}${done}`);
    }
    return CTL_EXIT.done;
}

async function applyOne(context: CtlContext, resource: Resource, query: string): Promise<ApiReply> {
    const { kind, metadata } = resource;
    const present = await context.client.send({ method: "GET", path: `${kind}/${metadata.name}` });
    if (present.status === STATUS_NOT_FOUND) {
        return context.client.send({ method: "POST", path: `${kind}${query}`, body: resource });
    }
    if (present.status > STATUS_NOT_FOUND || present.status >= 400) {
        return present;
    }
    const version = metadata.resourceVersion > 0
        ? metadata.resourceVersion
        : (present.body as Resource).metadata.resourceVersion;
    const body = { ...resource, metadata: { name: metadata.name } };
    return context.client.send({ method: "PUT", path: `${kind}/${metadata.name}${query}`, body, ifMatch: version });
}

/**
 * Shows how resources differ from what is in place.
 *
 * @param context - Client and output
 * @param resources - The resources
 * @returns the exit code: `different` where one differs
 *
 * @example
 * await runDiff(context, resources);
 */
export async function runDiff(context: CtlContext, resources: readonly Resource[]): Promise<CtlExit> {
    let exit: CtlExit = CTL_EXIT.done;
    for (const resource of resources) {
        const path = `${resource.kind}/${resource.metadata.name}`;
        const reply = await context.client.send({ method: "GET", path });
        const present = reply.status < 400 ? (reply.body as Resource).spec : undefined;
        if (reply.status !== STATUS_NOT_FOUND) {
            const refused = reportRefusal(context, reply);
            if (refused !== undefined) {
                return refused;
            }
        }
        const wanted: unknown = JSON.parse(JSON.stringify(resource.spec));
        if (!isDeepStrictEqual(present, wanted)) {
            exit = CTL_EXIT.different;
            context.write(describe(resource));
            context.write(`- ${JSON.stringify(present) ?? "(not there)"}`);
            context.write(`+ ${JSON.stringify(wanted)}`);
        }
    }
    return exit;
}

/**
 * Deletes a resource.
 *
 * @param context - Client and output
 * @param target - The resource
 * @returns the exit code
 *
 * @example
 * await runDelete(context, { kind: "Offer", name: "levy" });
 */
export async function runDelete(context: CtlContext, target: CtlTarget): Promise<CtlExit> {
    const reply = await context.client.send({ method: "DELETE", path: `${target.kind}/${target.name}` });
    const refused = reportRefusal(context, reply);
    if (refused === undefined) {
        context.write(`${target.kind}/${target.name} deleted`);
    }
    return refused ?? CTL_EXIT.done;
}

/**
 * Tells an Upstream or a Service to take no new work.
 *
 * @param context - Client and output
 * @param target - The Upstream or Service
 * @returns the exit code
 *
 * @example
 * await runDrain(context, { kind: "Upstream", name: "bericht-llm" });
 */
export async function runDrain(context: CtlContext, target: CtlTarget): Promise<CtlExit> {
    const path = `${target.kind}/${target.name}`;
    const reply = await context.client.send({ method: "PATCH", path, body: { spec: { draining: true } } });
    const refused = reportRefusal(context, reply);
    if (refused === undefined) {
        context.write(`${path} drains; follow it with: get ${target.kind} ${target.name} --status`);
    }
    return refused ?? CTL_EXIT.done;
}

interface StatusBody {
    readonly inForce: boolean;
    readonly inForceOn: readonly string[];
    readonly lagging: readonly string[];
    readonly silent: readonly string[];
}

/**
 * Waits until a resource's latest change is in force on every live host.
 *
 * @param context - Client and output
 * @param target - The resource; undefined for everything that was accepted so far
 * @param timeoutMs - Longest wait, in milliseconds
 * @returns the exit code: `timeout` where a host still lags
 *
 * @example
 * await runWait(context, { kind: "Offer", name: "levy" }, 30_000);
 */
export async function runWait(
    context: CtlContext,
    target: CtlTarget | undefined,
    timeoutMs: number,
): Promise<CtlExit> {
    const path = target === undefined ? "status" : `${target.kind}/${target.name}/status`;
    const endMs = context.nowMs() + timeoutMs;
    let told = "";
    for (;;) {
        const reply = await context.client.send({ method: "GET", path });
        const refused = reportRefusal(context, reply);
        if (refused !== undefined) {
            return refused;
        }
        const { inForce, inForceOn, lagging, silent } = reply.body as StatusBody;
        const silence = silent.length > 0 ? `, no answer from ${silent.join(", ")}` : "";
        const progress = `in force on ${inForceOn.length} of ${inForceOn.length + lagging.length} hosts${silence}`;
        if (inForce) {
            context.write(progress);
            return CTL_EXIT.done;
        }
        if (progress !== told) {
            context.tell(`${progress}; waiting for ${lagging.join(", ")}`);
            told = progress;
        }
        if (context.nowMs() >= endMs) {
            context.tell("the time is up");
            return CTL_EXIT.timeout;
        }
        await context.pause(WAIT_STEP_MS);
    }
}

function describe(resource: Resource): string {
    return `${resource.kind}/${resource.metadata.name}`;
}
