import { FLEET_OPERATOR_TOKEN, startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { startServiceStandin } from "@fulmarcleat/standin";
import type { ServiceStandin } from "@fulmarcleat/standin";
import { callDemo } from "./demoCall.js";
import type { DemoAnswer } from "./demoCall.js";
import { DEMO_REFUSALS } from "./demoRefusals.js";
import type { DemoRefusal } from "./demoRefusals.js";
import { readExample } from "./readExample.js";

/** Where the demo writes and reads. */
export interface DemoOptions {
    /** Path of the example's resources. */
    readonly resourcesFile: string;
    readonly print: (line: string) => void;
}

/** A demo that has shown everything and still runs. */
export interface Demo {
    readonly gatewayUrl: string;
    readonly apiUrl: string;
    /** What did not go as it should; empty where all did. */
    readonly failures: readonly string[];
    stop(): Promise<void>;
}

interface Stage {
    readonly fleet: Fleet;
    readonly services: readonly ServiceStandin[];
    readonly gatewayUrl: string;
    readonly print: (line: string) => void;
    readonly check: (isMet: boolean, what: string) => void;
}

const GATEWAYS = 3;
const ENGINES = 6;
const SERVICES = 3;
const REPORT_TOKENS = 300;
const LOOKUP_TOKENS = 8;
const LOCAL = { host: "127.0.0.1", port: 0 } as const;

/**
 * Runs the VÖP example in one process and shows what it does.
 *
 * @param options - Where to write
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
    const stage: Stage = {
        fleet,
        services,
        gatewayUrl: fleet.gateways[0]?.url ?? "",
        print,
        check(isMet, what) {
            print(`    ${isMet ? "ok" : "FAILED"}: ${what}`);
            if (!isMet) {
                failures.push(what);
            }
        },
    };
    print(`Started ${GATEWAYS} gateways, an operators' API, ${ENGINES} engines and the platform's stand-ins.`);
    await applyExample(stage, api.url, options.resourcesFile);
    print("\n2. A long report streams at priority bulk; meanwhile an urgent lookup comes in that names no version.");
    const report = showReport(stage);
    await showLookup(stage);
    await report;
    await showInvoice(stage);
    await showRefusals(stage);
    return {
        gatewayUrl: stage.gatewayUrl,
        apiUrl: api.url,
        failures,
        async stop() {
            await fleet.stop();
            await Promise.all(services.map(service => service.close()));
        },
    };
}

async function applyExample(stage: Stage, apiUrl: string, file: string): Promise<void> {
    stage.print("\n1. An operator applies the VÖP example through the resource API.");
    const resources = await readExample(file, {
        engines: stage.fleet.engines.map(engine => engine.url),
        services: stage.services.map(service => service.url),
    });
    let seq = 0;
    for (const resource of resources) {
        const url = `${apiUrl}/apis/v1/${resource.kind}`;
        const answer = await callDemo({ url, method: "POST", key: FLEET_OPERATOR_TOKEN, body: resource });
        stage.check(
            answer.status === 201,
            `${resource.kind} ${resource.metadata.name} accepted in ${answer.tookMs} ms`,
        );
        seq = readResourceVersion(answer) ?? seq;
    }
    await Promise.all(stage.fleet.gateways.map(gateway => gateway.configReached(seq)));
    stage.print(`    in force on all ${GATEWAYS} gateways (change ${seq})`);
}

function readResourceVersion(answer: DemoAnswer): number | undefined {
    const body = JSON.parse(answer.text) as { readonly metadata?: { readonly resourceVersion: number } };
    return body.metadata?.resourceVersion;
}

async function showReport(stage: Stage): Promise<void> {
    const answer = await callDemo({
        url: `${stage.gatewayUrl}/v1/completions`,
        method: "POST",
        key: "managers-key",
        body: { model: "report-ostalpen@2", prompt: "Footfall in June", max_tokens: REPORT_TOKENS, stream: true },
    });
    const pieces = answer.text.split("\n\n").filter(event => event.includes("report-ostalpen@2:"));
    stage.check(
        pieces.length === REPORT_TOKENS && answer.text.endsWith("data: [DONE]\n\n"),
        `the report arrived whole: ${pieces.length} tokens of ${
            answer.headers.get("fulmarcleat-model")
        } in ${answer.tookMs} ms`,
    );
}

async function showLookup(stage: Stage): Promise<void> {
    const answer = await callDemo({
        url: `${stage.gatewayUrl}/v1/chat/completions`,
        method: "POST",
        key: "centre-staff-key",
        body: {
            model: "lookup-linz",
            messages: [{ role: "user", content: "Visitors today?" }],
            max_tokens: LOOKUP_TOKENS,
        },
    });
    const model = answer.headers.get("fulmarcleat-model");
    stage.check(
        answer.status === 200 && model === "lookup-linz@3",
        `the lookup was answered by ${model}, the operators' default, in ${answer.tookMs} ms`,
    );
}

async function showInvoice(stage: Stage): Promise<void> {
    stage.print("\n3. A levy invoice is sent twice under one key.");
    const ask = {
        url: `${stage.gatewayUrl}/services/mitglieder-app/invoices`,
        method: "POST",
        key: "billing-key",
        headers: { "idempotency-key": "levy-2026-06-linz" },
        body: { arcade: "linz", euro: 1200 },
    } as const;
    const first = await callDemo(ask);
    const second = await callDemo(ask);
    const runs = stage.services.flatMap(service => service.record()).length;
    stage.print(`    first answer ${first.status}, second answer ${second.status}`);
    stage.check(first.status === 200 && runs === 1, `the invoice ran ${runs} time(s)`);
}

async function showRefusals(stage: Stage): Promise<void> {
    stage.print("\n4. One request of each refused kind; none reaches an engine.");
    const before = countRuns(stage);
    for (const refusal of DEMO_REFUSALS) {
        await showRefusal(stage, refusal);
    }
    stage.check(countRuns(stage) === before, "no engine ran anything");
}

async function showRefusal(stage: Stage, refusal: DemoRefusal): Promise<void> {
    const answer = await callDemo({
        url: `${stage.gatewayUrl}${refusal.path ?? "/v1/completions"}`,
        method: "POST",
        key: refusal.key ?? "centre-staff-key",
        headers: refusal.headers ?? {},
        body: refusal.body,
    });
    const { error } = JSON.parse(answer.text) as {
        readonly error: { readonly code: string; readonly outcome: string };
    };
    stage.check(
        error.code === refusal.code && error.outcome === "not_run",
        `${refusal.title}: ${answer.status} ${error.code}, outcome ${error.outcome}`,
    );
}

function countRuns(stage: Stage): number {
    return stage.fleet.engines.flatMap(engine => engine.record().runs).length;
}
