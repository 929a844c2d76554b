import { FLEET_OPERATOR_TOKEN, startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { startServiceStandin } from "@fulmarcleat/standin";
import type { ServiceStandin } from "@fulmarcleat/standin";
import { DEMO_REFUSALS } from "./demoRefusals.js";
import type { DemoRefusal } from "./demoRefusals.js";
import { readExample } from "./readExample.js";
import { sendDemoRequest } from "./sendDemoRequest.js";
import type { DemoAnswer } from "./sendDemoRequest.js";

/** Input and output of the demo. */
export interface DemoOptions {
    /** Path of the resource file of the example. */
    readonly resourcesFile: string;
    /** Prints one line of output. */
    readonly print: (line: string) => void;
}

/** A demo that has completed its steps and keeps running until it is stopped. */
export interface Demo {
    readonly gatewayUrl: string;
    readonly apiUrl: string;
    /** Descriptions of the failed checks; empty if all passed. */
    readonly failures: readonly string[];
    stop(): Promise<void>;
}

/** Processes that the demo started, and functions that print and check results. */
interface DemoContext {
    readonly fleet: Fleet;
    readonly services: readonly ServiceStandin[];
    readonly gatewayUrl: string;
    readonly print: (line: string) => void;
    readonly check: (isMet: boolean, description: string) => void;
}

const GATEWAYS = 3;
const ENGINES = 6;
const SERVICES = 3;
/** Number of tokens of the report, the long answer. */
const REPORT_TOKENS = 300;
/** Number of tokens of the lookup, the short answer. */
const LOOKUP_TOKENS = 8;
const LOCAL = { host: "127.0.0.1", port: 0 } as const;

/**
 * Runs the VÖP example in one process and prints each step and its result.
 *
 * @param options - Resource file and output
 * @returns the running demo
 *
 * @example
 * const demo = await runDemo({ resourcesFile: "examples/vop/resources.jsonc", print: console.log });
 */
export async function runDemo(options: DemoOptions): Promise<Demo> {
    const failures: string[] = [];
    const { print } = options;
    const fleet = await startFleet({
        gateways: GATEWAYS,
        engines: ENGINES,
        failureDomains: ["wien-a", "wien-b", "linz-c"],
        listsEngines: false,
    });
    const services = await Promise.all(Array.from({ length: SERVICES }, () => startServiceStandin(LOCAL)));
    const api = await fleet.startApi(1);
    const context: DemoContext = {
        fleet,
        services,
        gatewayUrl: fleet.gateways[0]?.url ?? "",
        print,
        check(isMet, description) {
            print(`    ${isMet ? "ok" : "FAILED"}: ${description}`);
            if (!isMet) {
                failures.push(description);
            }
        },
    };
    print(`Started ${GATEWAYS} gateways, an operator API, ${ENGINES} engines and stand-ins for the platform.`);
    await applyExample(context, api.url, options.resourcesFile);
    print("\n2. A long report streams at priority bulk; meanwhile, an urgent lookup without a version arrives.");
    const report = demonstrateReport(context);
    await demonstrateLookup(context);
    await report;
    await demonstrateInvoice(context);
    await demonstrateRefusals(context);
    return {
        gatewayUrl: context.gatewayUrl,
        apiUrl: api.url,
        failures,
        async stop() {
            await fleet.stop();
            await Promise.all(services.map(service => service.close()));
        },
    };
}

async function applyExample(context: DemoContext, apiUrl: string, file: string): Promise<void> {
    context.print("\n1. An operator applies the VÖP example through the resource API.");
    const resources = await readExample(file, {
        engines: context.fleet.engines.map(engine => engine.url),
        services: context.services.map(service => service.url),
    });
    let seq = 0;
    for (const resource of resources) {
        const url = `${apiUrl}/apis/v1/${resource.kind}`;
        const answer = await sendDemoRequest({ url, method: "POST", key: FLEET_OPERATOR_TOKEN, body: resource });
        context.check(
            answer.status === 201,
            `${resource.kind} ${resource.metadata.name} accepted in ${answer.tookMs} ms`,
        );
        seq = readResourceVersion(answer) ?? seq;
    }
    await Promise.all(context.fleet.gateways.map(gateway => gateway.configReached(seq)));
    context.print(`    applied by all ${GATEWAYS} gateways (change ${seq})`);
}

function readResourceVersion(answer: DemoAnswer): number | undefined {
    const body = JSON.parse(answer.text) as { readonly metadata?: { readonly resourceVersion: number } };
    return body.metadata?.resourceVersion;
}

async function demonstrateReport(context: DemoContext): Promise<void> {
    const answer = await sendDemoRequest({
        url: `${context.gatewayUrl}/v1/completions`,
        method: "POST",
        key: "managers-key",
        body: { model: "report-ostalpen@2", prompt: "Footfall in June", max_tokens: REPORT_TOKENS, stream: true },
    });
    const tokenEvents = answer.text.split("\n\n").filter(event => event.includes("report-ostalpen@2:"));
    context.check(
        tokenEvents.length === REPORT_TOKENS && answer.text.endsWith("data: [DONE]\n\n"),
        `the report is complete: ${tokenEvents.length} tokens of ${
            answer.headers.get("fulmarcleat-model")
        } in ${answer.tookMs} ms`,
    );
}

async function demonstrateLookup(context: DemoContext): Promise<void> {
    const answer = await sendDemoRequest({
        url: `${context.gatewayUrl}/v1/chat/completions`,
        method: "POST",
        key: "centre-staff-key",
        body: {
            model: "lookup-linz",
            messages: [{ role: "user", content: "Visitors today?" }],
            max_tokens: LOOKUP_TOKENS,
        },
    });
    const model = answer.headers.get("fulmarcleat-model");
    context.check(
        answer.status === 200 && model === "lookup-linz@3",
        `the lookup was answered by ${model}, the default version, in ${answer.tookMs} ms`,
    );
}

async function demonstrateInvoice(context: DemoContext): Promise<void> {
    context.print("\n3. A levy invoice is sent twice with the same idempotency key.");
    const invoiceRequest = {
        url: `${context.gatewayUrl}/services/mitglieder-app/invoices`,
        method: "POST",
        key: "billing-key",
        headers: { "idempotency-key": "levy-2026-06-linz" },
        body: { arcade: "linz", euro: 1200 },
    } as const;
    const first = await sendDemoRequest(invoiceRequest);
    const second = await sendDemoRequest(invoiceRequest);
    const runs = context.services.flatMap(service => service.record()).length;
    context.print(`    first answer ${first.status}, second answer ${second.status}`);
    context.check(first.status === 200 && runs === 1, `the invoice ran ${runs} time(s)`);
}

async function demonstrateRefusals(context: DemoContext): Promise<void> {
    context.print("\n4. Requests that the gateway refuses; none reaches an engine.");
    const runsBefore = countRuns(context);
    for (const refusal of DEMO_REFUSALS) {
        await demonstrateRefusal(context, refusal);
    }
    context.check(countRuns(context) === runsBefore, "no engine ran a request");
}

async function demonstrateRefusal(context: DemoContext, refusal: DemoRefusal): Promise<void> {
    const answer = await sendDemoRequest({
        url: `${context.gatewayUrl}${refusal.path ?? "/v1/completions"}`,
        method: "POST",
        key: refusal.key ?? "centre-staff-key",
        headers: refusal.headers ?? {},
        body: refusal.body,
    });
    const { error } = JSON.parse(answer.text) as {
        readonly error: { readonly code: string; readonly outcome: string };
    };
    context.check(
        error.code === refusal.code && error.outcome === "not_run",
        `${refusal.title}: ${answer.status} ${error.code}, outcome ${error.outcome}`,
    );
}

function countRuns(context: DemoContext): number {
    return context.fleet.engines.flatMap(engine => engine.record().runs).length;
}
