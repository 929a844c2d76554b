import { ok, strictEqual } from "@fulmarcleat/testing";
import type { CallerAnswer, FleetWorld } from "./fleetWorld.js";

/** Caller of the invoices in tests. */
export const INVOICE_CALLER = "linz";
/** Prompt of the invoice that may run once. */
export const INVOICE_PROMPT = "levy invoice 2024-11";
/** Number of pieces in an invoice's answer. */
const INVOICE_TOKENS = 6;

/** One keyed request as it is sent. */
export interface InvoiceCall {
    readonly gateway: number;
    readonly key: string | undefined;
    readonly stream: boolean;
    readonly prompt: string;
}

/** Starts a fleet that serves invoices, with short times. */
export async function startInvoicing(world: FleetWorld, gateways: number, engines: number): Promise<void> {
    await world.start({
        gateways,
        engines,
        failureDomains: ["wien-a", "wien-b", "linz-c"],
        gateway: { streamSilenceMs: 1500 },
    });
    await world.offerAdapter("levy", ["7"], INVOICE_CALLER, "urgent");
    await waitForConfig(world);
}

/** Waits until every gateway has the last change. */
export async function waitForConfig(world: FleetWorld): Promise<void> {
    await Promise.all(world.fleet.gateways.map(gateway => gateway.configReached(world.fleet.changes)));
}

/** Sends one invoice. */
export function sendInvoice(world: FleetWorld, call: InvoiceCall): Promise<CallerAnswer> {
    return world.call(call.gateway, "/v1/completions", {
        method: "POST",
        headers: {
            authorization: `Bearer ${world.formatCallerKey(INVOICE_CALLER)}`,
            ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
        },
        body: JSON.stringify({
            model: "levy@7",
            prompt: call.prompt,
            max_tokens: INVOICE_TOKENS,
            stream: call.stream,
        }),
    });
}

/** Names an answer: `whole`, `replay`, or `code:outcome`. */
export function classifyAnswer(answer: CallerAnswer | undefined): string {
    const failure = readFailure(answer);
    if (failure !== undefined) {
        return `${failure.code}:${failure.outcome}`;
    }
    return answer?.headers.get("fulmarcleat-replay") === "true" ? "replay" : "whole";
}

/** Checks what an answer says against the engines' own record. */
export function checkInvoiceAnswer(world: FleetWorld, answer: CallerAnswer): void {
    const runs = world.fleet.engines.flatMap(engine => engine.record().runs);
    const id = answer.headers.get("x-request-id");
    const own = runs.filter(run => run.requestId === id);
    const failure = readFailure(answer);
    if (failure === undefined) {
        const expected = Array.from({ length: INVOICE_TOKENS }, (unused, at) => `levy@7:${at} `).join("");
        strictEqual(readInvoiceText(answer.text), expected);
        ok(runs.length > 0, "an answer without a run");
        return;
    }
    if (failure.outcome === "not_run") {
        strictEqual(own.length, 0, "not_run was said of what ran");
    }
    if (failure.outcome === "ran") {
        ok(runs.length > 0, "ran was said and nothing ran");
    }
}

interface Failure {
    readonly code: string;
    readonly outcome: string;
}

function readFailure(answer: CallerAnswer | undefined): Failure | undefined {
    const last = (answer?.text ?? "").trim().split("\n\n").at(-1) ?? "";
    const text = last.startsWith("data: ") ? last.slice("data: ".length) : last;
    if (!text.startsWith("{")) {
        return undefined;
    }
    return (JSON.parse(text) as { readonly error?: Failure }).error;
}

interface Choice {
    readonly text?: string;
}

function readInvoiceText(text: string): string {
    const bodies = text.startsWith("data:")
        ? text.trim().split("\n\n").map(event => event.slice("data: ".length)).filter(event => event !== "[DONE]")
        : [text];
    return bodies.map(body => (JSON.parse(body) as { readonly choices: readonly Choice[] }).choices[0]?.text ?? "")
        .join("");
}
