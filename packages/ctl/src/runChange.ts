import type { Resource } from "@fulmarcleat/resources";
import { isDeepStrictEqual } from "node:util";
import type { ApiReply } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit, CtlTarget } from "./ctlCommand.js";
import { reportRefusal } from "./reportReply.js";

/** HTTP status of a resource that does not exist. */
const STATUS_NOT_FOUND = 404;
/** Interval at which `wait` requests the status, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/**
 * Creates or replaces resources in order and stops at the first one that is refused.
 *
 * @param context - API client and output
 * @param resources - Resources in the order in which to apply them
 * @param isDryRun - Whether the API only validates the changes
 * @returns the exit code: that of the refusal, or `done`
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
            context.writeMessage(`${describe(resource)} was refused; the resources after it were not applied`);
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
    const existing = await context.client.send({ method: "GET", path: `${kind}/${metadata.name}` });
    if (existing.status === STATUS_NOT_FOUND) {
        return context.client.send({ method: "POST", path: `${kind}${query}`, body: resource });
    }
    if (existing.status > STATUS_NOT_FOUND || existing.status >= 400) {
        return existing;
    }
    const version = metadata.resourceVersion > 0
        ? metadata.resourceVersion
        : (existing.body as Resource).metadata.resourceVersion;
    const body = { ...resource, metadata: { name: metadata.name } };
    return context.client.send({ method: "PUT", path: `${kind}/${metadata.name}${query}`, body, ifMatch: version });
}

/**
 * Shows how resources differ from those in the configuration.
 *
 * @param context - API client and output
 * @param resources - Resources to compare
 * @returns the exit code: `different` if at least one differs or does not exist
 *
 * @example
 * await runDiff(context, resources);
 */
export async function runDiff(context: CtlContext, resources: readonly Resource[]): Promise<CtlExit> {
    let exit: CtlExit = CTL_EXIT.done;
    for (const resource of resources) {
        const path = `${resource.kind}/${resource.metadata.name}`;
        const reply = await context.client.send({ method: "GET", path });
        const current = reply.status < 400 ? (reply.body as Resource).spec : undefined;
        if (reply.status !== STATUS_NOT_FOUND) {
            const refused = reportRefusal(context, reply);
            if (refused !== undefined) {
                return refused;
            }
        }
        const desired: unknown = JSON.parse(JSON.stringify(resource.spec));
        if (!isDeepStrictEqual(current, desired)) {
            exit = CTL_EXIT.different;
            context.write(describe(resource));
            context.write(`- ${JSON.stringify(current) ?? "(not there)"}`);
            context.write(`+ ${JSON.stringify(desired)}`);
        }
    }
    return exit;
}

/**
 * Deletes a resource.
 *
 * @param context - API client and output
 * @param target - Kind and name of the resource
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
 * Drains an Upstream or a Service: it gets no new requests, and those in flight finish.
 *
 * @param context - API client and output
 * @param target - Kind and name of the Upstream or Service
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
        context.write(`${path} is draining; check its progress with: get ${target.kind} ${target.name} --status`);
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
 * Waits until the last change of a resource is in effect on every live host.
 *
 * @param context - API client and output
 * @param target - Kind and name of the resource; undefined for all accepted changes
 * @param timeoutMs - Longest wait, in milliseconds
 * @returns the exit code: `timeout` if the change is not in effect in time
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
    const deadlineMs = context.nowMs() + timeoutMs;
    let lastProgress = "";
    for (;;) {
        const reply = await context.client.send({ method: "GET", path });
        const refused = reportRefusal(context, reply);
        if (refused !== undefined) {
            return refused;
        }
        const { inForce, inForceOn, lagging, silent } = reply.body as StatusBody;
        const missing = silent.length > 0 ? `, no answer from ${silent.join(", ")}` : "";
        const progress = `in force on ${inForceOn.length} of ${inForceOn.length + lagging.length} hosts${missing}`;
        if (inForce) {
            context.write(progress);
            return CTL_EXIT.done;
        }
        if (progress !== lastProgress) {
            context.writeMessage(`${progress}; waiting for ${lagging.join(", ")}`);
            lastProgress = progress;
        }
        if (context.nowMs() >= deadlineMs) {
            context.writeMessage("timed out");
            return CTL_EXIT.timeout;
        }
        await context.sleep(POLL_INTERVAL_MS);
    }
}

function describe(resource: Resource): string {
    return `${resource.kind}/${resource.metadata.name}`;
}
