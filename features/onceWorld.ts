import { ok, strictEqual } from "@fulmarcleat/testing";
import type { CallerAnswer, FleetWorld } from "./fleetWorld.js";

/** Name of the caller that sends the invoices. */
export const INVOICE_CALLER = "linz";
/** Prompt of the invoice that may run at most once. */
export const INVOICE_PROMPT = "levy invoice 2024-11";
/** Number of tokens in an invoice's answer. */
const INVOICE_TOKENS = 6;

/** Describes one invoice request. */
export interface InvoiceCall {
    /** Gateway that receives the request, counted from 1. */
    readonly gateway: number;
    /** Idempotency key. */
    readonly key: string | undefined;
    /** Whether the answer is streamed. */
    readonly stream: boolean;
    readonly prompt: string;
}

/**
 * Starts a fleet that serves invoices and detects unresponsive streams after 1.5 seconds.
 *
 * @param world - Scenario that receives the fleet
 * @param gateways - Number of gateways
 * @param engines - Number of engines
 *
 * @example
 * await startInvoicing(world, 3, 2);
 */
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

/**
 * Waits until every gateway has the last configuration change.
 *
 * @param world - Scenario with a running fleet
 *
 * @example
 * await waitForConfig(world);
 */
export async function waitForConfig(world: FleetWorld): Promise<void> {
    await Promise.all(world.fleet.gateways.map(gateway => gateway.configReached(world.fleet.changes)));
}

/**
 * Sends one invoice request.
 *
 * @param world - Scenario whose fleet receives the request and whose `answers` receives the answer
 * @param call - Gateway, key and prompt
 * @returns the answer
 *
 * @example
 * const answer = await sendInvoice(world, { gateway: 1, key: "k", stream: false, prompt: INVOICE_PROMPT });
 */
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

/**
 * Classifies an answer to an invoice request.
 *
 * @param answer - Answer of a gateway
 * @returns `whole`, `replay` or, for an error, `code:outcome`
 *
 * @example
 * classifyAnswer(answer); // "kv_unavailable:not_run"
 */
export function classifyAnswer(answer: CallerAnswer | undefined): string {
    const error = readError(answer);
    if (error !== undefined) {
        return `${error.code}:${error.outcome}`;
    }
    return answer?.headers.get("fulmarcleat-replay") === "true" ? "replay" : "whole";
}

/**
 * Checks that an answer agrees with the engines' records.
 *
 * @param world - Scenario with a running fleet
 * @param answer - Answer to an invoice request
 * @throws AssertionError if the answer is incomplete or its outcome is false
 *
 * @example
 * checkInvoiceAnswer(world, answer);
 */
export function checkInvoiceAnswer(world: FleetWorld, answer: CallerAnswer): void {
    const runs = world.fleet.engines.flatMap(engine => engine.record().runs);
    const requestId = answer.headers.get("x-request-id");
    const ownRuns = runs.filter(run => run.requestId === requestId);
    const error = readError(answer);
    if (error === undefined) {
        const expected = Array.from({ length: INVOICE_TOKENS }, (unused, at) => `levy@7:${at} `).join("");
        strictEqual(readInvoiceText(answer.text), expected);
        ok(runs.length > 0, "an answer was delivered but no engine ran a request");
        return;
    }
    if (error.outcome === "not_run") {
        strictEqual(ownRuns.length, 0, "a request that ran was answered with not_run");
    }
    if (error.outcome === "ran") {
        ok(runs.length > 0, "a request was answered with ran but no engine ran one");
    }
}

interface ErrorBody {
    readonly code: string;
    readonly outcome: string;
}

function readError(answer: CallerAnswer | undefined): ErrorBody | undefined {
    const last = (answer?.text ?? "").trim().split("\n\n").at(-1) ?? "";
    const text = last.startsWith("data: ") ? last.slice("data: ".length) : last;
    if (!text.startsWith("{")) {
        return undefined;
    }
    return (JSON.parse(text) as { readonly error?: ErrorBody }).error;
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
