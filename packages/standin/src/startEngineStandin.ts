import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { Agent } from "undici";
import { z } from "zod";
import { createCacheEvents } from "./createCacheEvents.js";
import { createFaultRoute, createStandinServer, sendJson, serverFaultShape } from "./createStandinServer.js";
import type { StandinRequest, StandinRoute, StandinServer } from "./createStandinServer.js";
import { createEngineBatch } from "./engineBatch.js";
import type { EngineOrderRecord, EngineRecord, EngineRun } from "./engineRecord.js";
import type { StandinAddress } from "./startKvStandin.js";

/** Sizes and behaviour of an engine stand-in. */
export interface EngineStandinOptions {
    readonly id: string;
    /** Address of the weight store. */
    readonly weightStoreUrl: string;
    readonly batchSlots: number;
    /** Adapter slots: number of adapter instances that can be loaded at once. */
    readonly adapterPlaces: number;
    /** Time per token, in milliseconds. */
    readonly tokenMs: number;
    /** Whether orders with an old fencing token are refused. */
    readonly checksFences: boolean;
    /** How long a finished stream, or one without a reader, is retained, in milliseconds. */
    readonly keepStreamMs: number;
}

const faultSchema = z.strictObject({
    ...serverFaultShape,
    checksFences: z.boolean().optional(),
    failLoads: z.int().min(0).optional(),
    stallLoadMs: z.int().min(0).optional(),
    reportLagMs: z.int().min(0).optional(),
    loseReports: z.boolean().optional(),
    /** Whether new cache events are lost; each one leaves a gap in the sequence numbers. */
    dropCacheEvents: z.boolean().optional(),
    cacheEventLagMs: z.int().min(0).optional(),
    cutStreamsAfterTokens: z.int().min(1).optional(),
    canResume: z.boolean().optional(),
    restart: z.boolean().optional(),
    leaving: z.boolean().optional(),
    echoInstance: z.string().optional(),
});

/** Faults of an engine stand-in. */
export type EngineFaults = z.infer<typeof faultSchema>;

/** A running engine stand-in. */
export interface EngineStandin {
    readonly id: string;
    readonly url: string;
    setFaults(faults: EngineFaults): void;
    record(): EngineRecord;
    /** Refuses new requests and resolves once every running one has ended. */
    drain(): Promise<void>;
    close(): Promise<void>;
}

/** Sizes of the engines that the brief describes. */
export const DEFAULT_ENGINE: Omit<EngineStandinOptions, "id" | "weightStoreUrl"> = {
    batchSlots: 16,
    adapterPlaces: 8,
    tokenMs: 5,
    checksFences: true,
    keepStreamMs: 5000,
};

const completionSchema = z.object({
    model: z.string(),
    prompt: z.string().optional(),
    messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
    max_tokens: z.int().min(1).default(16),
    priority: z.number().default(0),
    request_id: z.string(),
});
const loadSchema = z.object({ lora_name: z.string(), lora_path: z.string(), fence: z.number() });
const unloadSchema = z.object({ lora_name: z.string(), fence: z.number() });

/** A stream of events that a client can resume after a disconnect. */
interface LiveStream {
    readonly run: EngineRun;
    readonly sent: string[];
    reader: ServerResponse | undefined;
    done: boolean;
}

/** Body of `GET /load`. */
interface LoadReport {
    readonly incarnation: string;
    readonly instances: readonly { readonly instance: string; readonly running: number }[];
    readonly running: number;
    readonly waiting: number;
    readonly batchSlots: number;
    readonly adapterPlaces: number;
}

/**
 * Starts a small model engine with continuous batching, adapters, priorities, resumable streams and faults.
 *
 * @param address - Address to listen on; port 0 chooses a free one
 * @param options - Sizes and behaviour of the engine
 * @returns the running stand-in
 *
 * @example
 * const engine = await startEngineStandin(address, { ...DEFAULT_ENGINE, id: "e1", weightStoreUrl });
 */
export async function startEngineStandin(
    address: StandinAddress,
    options: EngineStandinOptions,
): Promise<EngineStandin> {
    const batch = createEngineBatch({ slots: options.batchSlots, stepMs: options.tokenMs });
    const dispatcher = new Agent();
    const loaded = new Set<string>();
    const loading = new Set<string>();
    const streams = new Map<string, LiveStream>();
    const cacheEvents = createCacheEvents();
    const runs: EngineRun[] = [];
    const orders: EngineOrderRecord[] = [];
    const refused: Record<string, number> = {};
    const reports: { readonly atMs: number; readonly body: LoadReport }[] = [];
    let faults: EngineFaults = {};
    let checksFences = options.checksFences;
    let highestFence = 0;
    let incarnation: string = randomUUID();
    let evictedInUse = 0;

    const refuseOrder = (
        request: StandinRequest,
        record: Omit<EngineOrderRecord, "atMs" | "running">,
        reason: string,
    ): undefined => {
        orders.push({ ...record, atMs: performance.now(), running: 0 });
        sendJson(request.res, 409, { status: "refused", reason, message: `${record.order} refused: ${reason}` });
        return undefined;
    };
    /** Records the fencing token of an order, and returns whether the order must be refused because of it. */
    const rejectsFence = (fence: number): boolean => {
        const isStale = checksFences && fence < highestFence;
        highestFence = Math.max(highestFence, fence);
        return isStale;
    };
    const fetchWeights = async (path: string): Promise<boolean> => {
        const res = await dispatcher.request({
            origin: options.weightStoreUrl,
            method: "GET",
            path: `/weights/${encodeURIComponent(path)}`,
        });
        await res.body.dump();
        return res.statusCode === 200;
    };
    const loadAdapter = async (request: StandinRequest): Promise<unknown> => {
        const { lora_name: instance, lora_path: path, fence } = loadSchema.parse(request.body);
        const record = { order: "load", instance, fence } as const;
        const incarnationAtStart = incarnation;
        if (rejectsFence(fence)) {
            return refuseOrder(request, { ...record, result: "old_fence" }, "old_fence");
        }
        if (!loaded.has(instance)) {
            if (loaded.size + loading.size >= options.adapterPlaces) {
                return refuseOrder(request, { ...record, result: "full" }, "full");
            }
            loading.add(instance);
            await wait(faults.stallLoadMs ?? 0);
            const fetched = await fetchWeights(path).catch(() => false);
            loading.delete(instance);
            const fails = (faults.failLoads ?? 0) > 0;
            if (fails) {
                faults = { ...faults, failLoads: (faults.failLoads ?? 0) - 1 };
            }
            if (!fetched || fails || incarnationAtStart !== incarnation) {
                return refuseOrder(request, { ...record, result: "failed" }, "failed");
            }
            loaded.add(instance);
        }
        orders.push({ ...record, atMs: performance.now(), result: "done", running: 0 });
        return { status: "done" };
    };
    const unloadAdapter = (request: StandinRequest): unknown => {
        const { lora_name: instance, fence } = unloadSchema.parse(request.body);
        const record = { order: "unload", instance, fence } as const;
        if (rejectsFence(fence)) {
            return refuseOrder(request, { ...record, result: "old_fence" }, "old_fence");
        }
        if (!loaded.delete(instance)) {
            return refuseOrder(request, { ...record, result: "not_found" }, "not_found");
        }
        const running = batch.countRunning(instance);
        evictedInUse += running > 0 ? 1 : 0;
        orders.push({ ...record, atMs: performance.now(), result: "done", running });
        return { status: "done" };
    };
    const refuseRun = (res: ServerResponse, status: number, code: string): undefined => {
        refused[code] = (refused[code] ?? 0) + 1;
        sendJson(res, status, { error: { code, message: code } });
        return undefined;
    };
    const startCompletion = (request: StandinRequest): undefined => {
        const body = completionSchema.parse(request.body);
        if (faults.leaving === true) {
            return refuseRun(request.res, 410, "leaving");
        }
        if (!loaded.has(body.model)) {
            return refuseRun(request.res, 404, "not_loaded");
        }
        const run: EngineRun = {
            requestId: body.request_id,
            instance: body.model,
            prompt: body.prompt ?? JSON.stringify(body.messages),
            priority: body.priority,
            receivedAtMs: performance.now(),
            firstTokenAtMs: undefined,
            endedAtMs: undefined,
            tokens: 0,
            end: undefined,
        };
        runs.push(run);
        cacheEvents.add(run.instance, run.prompt, run.receivedAtMs, faults.dropCacheEvents === true);
        const stream: LiveStream = { run, sent: [], reader: undefined, done: false };
        streams.set(run.requestId, stream);
        attachReader(stream, request.res, 0);
        batch.add({
            requestId: run.requestId,
            instance: run.instance,
            priority: run.priority,
            maxTokens: body.max_tokens,
            onToken: (index, isLast) => emitToken(stream, index, isLast),
        });
        return undefined;
    };
    const emitToken = (stream: LiveStream, index: number, isLast: boolean): void => {
        const { run } = stream;
        run.firstTokenAtMs ??= performance.now();
        run.tokens += 1;
        const model = faults.echoInstance ?? run.instance;
        const text = `${run.instance.split("#")[0]}:${index} `;
        const chunk = {
            id: run.requestId,
            object: "text_completion",
            model,
            choices: [{ index: 0, text, finish_reason: isLast ? "length" : null }],
        };
        stream.sent.push(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
        stream.reader?.write(stream.sent[index] ?? "");
        if (faults.cutStreamsAfterTokens !== undefined && index + 1 === faults.cutStreamsAfterTokens) {
            stream.reader?.destroy();
        }
        if (isLast) {
            finishStream(stream);
        }
    };
    const finishStream = (stream: LiveStream): void => {
        stream.done = true;
        stream.run.endedAtMs = performance.now();
        stream.run.end = "finished";
        stream.reader?.end("data: [DONE]\n\n");
        setTimeout(() => streams.delete(stream.run.requestId), options.keepStreamMs).unref();
    };
    const attachReader = (stream: LiveStream, res: ServerResponse, fromIndex: number): void => {
        stream.reader?.destroy();
        stream.reader = res;
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.flushHeaders();
        res.on("close", () => {
            if (stream.reader === res) {
                stream.reader = undefined;
                setTimeout(() => cancelAbandoned(stream), options.keepStreamMs).unref();
            }
        });
        stream.sent.slice(fromIndex).forEach(event => res.write(event));
        if (stream.done) {
            res.end("data: [DONE]\n\n");
        }
    };
    const cancelAbandoned = (stream: LiveStream): void => {
        if (stream.reader === undefined && !stream.done) {
            cancelStream(stream.run.requestId);
        }
    };
    const cancelStream = (requestId: string): boolean => {
        const stream = streams.get(requestId);
        streams.delete(requestId);
        if (stream === undefined || stream.done) {
            return false;
        }
        batch.remove(requestId);
        stream.run.end = "cancelled";
        stream.run.endedAtMs = performance.now();
        stream.reader?.destroy();
        return true;
    };
    const resumeStream = (request: StandinRequest): undefined => {
        const stream = streams.get(request.params["id"] ?? "");
        if (stream === undefined || faults.canResume === false) {
            return refuseRun(request.res, 404, "not_found");
        }
        attachReader(stream, request.res, Number(request.req.headers["last-event-id"] ?? -1) + 1);
        return undefined;
    };
    const restart = (): void => {
        for (const stream of streams.values()) {
            if (!stream.done) {
                stream.run.end = "lost";
                stream.run.endedAtMs = performance.now();
            }
            stream.reader?.destroy();
        }
        streams.clear();
        batch.clear();
        loaded.clear();
        loading.clear();
        highestFence = 0;
        incarnation = randomUUID();
    };
    const serveReport = (request: StandinRequest): unknown => {
        if (faults.loseReports === true) {
            request.req.socket.destroy();
            return undefined;
        }
        const nowMs = performance.now();
        const body: LoadReport = {
            incarnation,
            instances: [...loaded].map(instance => ({ instance, running: batch.countRunning(instance) })),
            running: batch.running,
            waiting: batch.waiting,
            batchSlots: options.batchSlots,
            adapterPlaces: options.adapterPlaces,
        };
        reports.push({ atMs: nowMs, body });
        const lagMs = faults.reportLagMs ?? 0;
        while (reports.length > 1 && (reports[1]?.atMs ?? nowMs) <= nowMs - lagMs) {
            reports.shift();
        }
        return reports[0]?.body;
    };
    const setFaults = (changed: EngineFaults): void => {
        const { restart: isRestart, ...otherFaults } = changed;
        faults = { ...faults, ...otherFaults };
        checksFences = changed.checksFences ?? checksFences;
        server.setFaults(changed);
        if (isRestart === true) {
            restart();
        }
    };
    const readRecord = (): EngineRecord => ({
        runs: [...runs],
        orders: [...orders],
        evictedInUse,
        refused: { ...refused },
        batch: { slots: options.batchSlots, ...batch.counts() },
    });
    const routes: StandinRoute[] = [
        { method: "POST", path: "/v1/load_lora_adapter", handle: loadAdapter },
        { method: "POST", path: "/v1/unload_lora_adapter", handle: unloadAdapter },
        { method: "POST", path: "/v1/completions", handle: startCompletion },
        { method: "POST", path: "/v1/chat/completions", handle: startCompletion },
        { method: "GET", path: "/v1/streams/:id", handle: resumeStream },
        {
            method: "POST",
            path: "/v1/streams/:id/cancel",
            handle: request => ({ cancelled: cancelStream(request.params["id"] ?? "") }),
        },
        { method: "GET", path: "/load", handle: serveReport },
        {
            method: "GET",
            path: "/cache_events",
            handle: request => ({
                events: cacheEvents.list(
                    Number(request.query["after"] ?? 0),
                    performance.now(),
                    faults.cacheEventLagMs ?? 0,
                ),
            }),
        },
        { method: "GET", path: "/health", handle: () => ({ status: "ok" }) },
        { method: "GET", path: "/record", handle: readRecord },
        createFaultRoute(faultSchema, setFaults),
    ];
    const server: StandinServer = await createStandinServer({ ...address, routes });
    return {
        id: options.id,
        url: server.url,
        setFaults,
        record: readRecord,
        async drain() {
            setFaults({ leaving: true });
            while (batch.running > 0) {
                await wait(options.tokenMs);
            }
        },
        close: async () => {
            batch.clear();
            await server.close();
            await dispatcher.destroy();
        },
    };
}
