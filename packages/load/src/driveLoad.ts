import { createRandom } from "@fulmarcleat/ids";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { setTimeout as wait } from "node:timers/promises";
import { Agent } from "undici";
import { checkAnswer } from "./checkAnswer.js";
import type { AnswerResult } from "./checkAnswer.js";
import { createZipf } from "./createZipf.js";
import type { LoadClass, LoadOptions } from "./loadOptions.js";

/** Request counts and latency percentiles of one class, in milliseconds. */
export interface ClassResult {
    readonly requests: number;
    /** Number of complete answers. */
    readonly whole: number;
    readonly firstTokenMs: { readonly p50: number; readonly p95: number; readonly p99: number };
    readonly answerMs: { readonly p50: number; readonly p95: number; readonly p99: number };
}

/** Result of a load run. */
export interface LoadResult {
    readonly seed: number;
    readonly seconds: number;
    readonly sent: number;
    /** Number of complete answers. */
    readonly whole: number;
    /** Answers that were truncated, out of order or from another adapter; must be 0. */
    readonly wrong: number;
    readonly tokensPerSecond: number;
    /** Number of errors by code and outcome. */
    readonly errors: Readonly<Record<string, number>>;
    readonly classes: Readonly<Record<string, ClassResult>>;
}

interface ClassTally {
    requests: number;
    whole: number;
    readonly firstToken: Histogram;
    readonly answer: Histogram;
}

interface LoadRun {
    readonly options: LoadOptions;
    readonly dispatcher: Agent;
    readonly tallies: Map<string, ClassTally>;
    readonly errors: Map<string, number>;
    tokens: number;
    wrong: number;
}

const MS_PER_SECOND = 1000;

/**
 * Sends requests to the gateways at a fixed rate and checks that every answer is complete and exact.
 *
 * @param options - Targets, rate and classes of the requests
 * @param signal - Stops sending early; requests in flight still finish
 * @returns counts and latencies of the run
 *
 * @example
 * const result = await driveLoad(options, new AbortController().signal);
 */
export async function driveLoad(options: LoadOptions, signal: AbortSignal): Promise<LoadResult> {
    const random = createRandom(options.seed);
    const draw = (): number => random.next();
    const drawModel = createZipf(options.models.length, options.zipfExponent, draw);
    const run: LoadRun = {
        options,
        dispatcher: new Agent({ headersTimeout: options.deadlineMs * 2, bodyTimeout: options.deadlineMs * 2 }),
        tallies: new Map(options.classes.map(entry => [entry.priority, createTally()])),
        errors: new Map(),
        tokens: 0,
        wrong: 0,
    };
    const startMs = performance.now();
    const total = Math.round(options.requestsPerSecond * options.seconds);
    const requests: Promise<void>[] = [];
    for (let sent = 0; sent < total && !signal.aborted; sent += 1) {
        const dueMs = startMs + sent * MS_PER_SECOND / options.requestsPerSecond;
        await wait(Math.max(0, dueMs - performance.now()));
        const url = options.urls[sent % options.urls.length] ?? "";
        requests.push(sendRequest(run, url, options.models[drawModel()] ?? "", drawClass(options.classes, draw())));
    }
    await Promise.all(requests);
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    await run.dispatcher.close();
    return summarize(run, requests.length, seconds);
}

function createTally(): ClassTally {
    return { requests: 0, whole: 0, firstToken: build(), answer: build() };
}

function drawClass(classes: readonly LoadClass[], drawn: number): LoadClass {
    let sum = 0;
    const found = classes.find(entry => {
        sum += entry.share;
        return drawn < sum;
    });
    return found ?? classes.at(-1) ?? { priority: "normal", share: 1, tokens: 1 };
}

async function sendRequest(run: LoadRun, url: string, model: string, loadClass: LoadClass): Promise<void> {
    const tally = run.tallies.get(loadClass.priority) ?? createTally();
    const startMs = performance.now();
    let firstMs: number | undefined;
    tally.requests += 1;
    try {
        const res = await run.dispatcher.request({
            origin: url,
            method: "POST",
            path: "/v1/completions",
            headers: {
                authorization: `Bearer ${run.options.key}`,
                "fulmarcleat-priority": loadClass.priority,
                "fulmarcleat-deadline-ms": String(run.options.deadlineMs),
            },
            body: JSON.stringify({ model, prompt: "load", max_tokens: loadClass.tokens, stream: true }),
        });
        const decoder = new TextDecoder();
        let text = "";
        for await (const bytes of res.body) {
            firstMs ??= performance.now() - startMs;
            text += decoder.decode(bytes as Uint8Array, { stream: true });
        }
        recordResult(run, tally, checkAnswer(model, loadClass.tokens, text), {
            firstMs,
            answerMs: performance.now() - startMs,
        });
    }
    catch {
        recordResult(run, tally, { kind: "error", code: "connection_lost", outcome: "unknown" }, {
            firstMs,
            answerMs: 0,
        });
    }
}

function recordResult(
    run: LoadRun,
    tally: ClassTally,
    result: AnswerResult,
    times: { readonly firstMs: number | undefined; readonly answerMs: number },
): void {
    switch (result.kind) {
        case "whole":
            tally.whole += 1;
            run.tokens += result.tokens;
            tally.firstToken.recordValue(Math.round(times.firstMs ?? 0));
            tally.answer.recordValue(Math.round(times.answerMs));
            return;
        case "error": {
            const name = `${result.code} ${result.outcome}`;
            run.errors.set(name, (run.errors.get(name) ?? 0) + 1);
            return;
        }
        case "wrong":
            run.wrong += 1;
            return;
    }
}

function summarize(run: LoadRun, sent: number, seconds: number): LoadResult {
    const classes = [...run.tallies].map(([name, tally]) => [name, summarizeClass(tally)] as const);
    return {
        seed: run.options.seed,
        seconds: Number(seconds.toFixed(2)),
        sent,
        whole: classes.reduce((sum, [, result]) => sum + result.whole, 0),
        wrong: run.wrong,
        tokensPerSecond: Math.round(run.tokens / seconds),
        errors: Object.fromEntries(run.errors),
        classes: Object.fromEntries(classes),
    };
}

function summarizeClass(tally: ClassTally): ClassResult {
    const { requests, whole } = tally;
    return { requests, whole, firstTokenMs: readQuantiles(tally.firstToken), answerMs: readQuantiles(tally.answer) };
}

function readQuantiles(histogram: Histogram): ClassResult["answerMs"] {
    return {
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
    };
}
