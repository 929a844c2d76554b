import { brandId, createId } from "@fulmarcleat/ids";
import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    EngineId,
    HostId,
    Incarnation,
    InstanceName,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import { createFrameReader, encodeFrame } from "@fulmarcleat/wire";
import type { Frame, PeerHello, PlaceEnd, PlaceReply, PlaceRequest } from "@fulmarcleat/wire";
import { measureCpu } from "./measureCpu.js";

/** Size and processor time of one kind of frame. */
export interface FrameCost {
    readonly name: string;
    /** Size of the encoded frame in bytes. */
    readonly bytes: number;
    /** Processor time of encoding and decoding the frame once, in microseconds. */
    readonly us: number;
}

/** Number of encodings and decodings whose processor time is averaged. */
const CALLS = 50_000;
/** Number of owned engines in a hello message. */
const ENGINES_PER_HOST = 6;

/**
 * Measures the frames that processes exchange for each request and each heartbeat.
 *
 * @returns the size and processor time of each kind of frame
 *
 * @example
 * const costs = measureFrames();
 */
export function measureFrames(): readonly FrameCost[] {
    return listFrames().map(([name, frame]) => {
        const bytes = encodeFrame(frame);
        const us = measureCpu(CALLS, () => {
            createFrameReader()(encodeFrame(frame));
        });
        return { name, bytes: bytes.length, us };
    });
}

function listFrames(): readonly (readonly [string, Frame])[] {
    const engine = brandId<EngineId>("oliemodel-12");
    const place = createId<PlaceId>();
    const host = brandId<HostId>("entry-1234");
    const incarnation = createId<Incarnation>();
    const request: PlaceRequest = {
        place,
        requestId: createId<RequestId>(),
        engine,
        adapter: brandId<AdapterName>("arcade-report-10234"),
        version: brandId<AdapterVersion>("2026.11"),
        weights: "arcade-report-10234/2026.11",
        caller: brandId<CallerName>("arcade-linz"),
        priority: "urgent",
        waitMs: 120_000,
        host,
        incarnation,
    };
    const reply: PlaceReply = {
        kind: "granted",
        place,
        instance: brandId<InstanceName>("arcade-report-10234@2026.11#7.123"),
        fence: 7,
        waitedMs: 3,
        startWithinMs: 5000,
        replicas: [engine],
        reuseMs: 250,
        loadStallMs: 0,
    };
    const end: PlaceEnd = { engine, ends: [{ place, use: "finished", runs: 1 }] };
    const hello: PeerHello = {
        host,
        incarnation,
        leaving: false,
        configSeq: 91_000,
        ownedEngines: Array.from({ length: ENGINES_PER_HOST }, (unused, at) => brandId<EngineId>(`oliemodel-${at}`)),
    };
    return [
        ["place ask", { t: "ask", id: 1, name: "place", body: request }],
        ["place reply", { t: "reply", id: 1, body: reply }],
        ["place end", { t: "ask", id: 2, name: "placeEnd", body: end }],
        ["empty reply", { t: "reply", id: 2, body: { done: true } }],
        ["hello", { t: "ask", id: 3, name: "hello", body: hello }],
        ["ping", { t: "ping" }],
    ];
}
