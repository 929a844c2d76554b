import type { AnswerSink, EngineAnswerHead, EngineRequest, EngineTransport } from "@fulmarcleat/directory";
import type { EngineId, ManualClock } from "@fulmarcleat/ids";

/** What an engine does with requests. */
export interface EngineScript {
    readonly kind: "stream" | "full" | "unreachable" | "failing" | "mute";
    /** Time from a request's arrival to the head of the stream, in milliseconds. */
    readonly beginMs: number;
    /** Parts of the stream before which the engine falls silent, each once. */
    readonly silentBefore: readonly string[];
    /** Length of a silence, in milliseconds; Infinity if the engine stays silent. */
    readonly silenceMs: number;
    /** Time from the first request to another engine to the end of the silence, if that comes sooner. */
    readonly endsAfterSecondMs: number | undefined;
    /** What the engine does at the end of its silence. */
    readonly afterSilence: "goes on" | "breaks off" | "refuses as full";
}

/** One exchange with an engine, as the engine saw it. */
export interface SilentExchange {
    readonly isFirst: boolean;
    readonly sentMs: number;
    /** Clock reading at the head of its stream; undefined before it. */
    beganMs: number | undefined;
    /** Clock reading at its end; undefined while the engine works on it. */
    closedMs: number | undefined;
    end: "sent" | "refused" | "broken" | "cancelled" | undefined;
}

/** Engines in memory, the first of which is the one that is asked first. */
export interface SilentEngines {
    readonly transport: EngineTransport;
    /** All exchanges in the order of their requests. */
    readonly exchanges: readonly SilentExchange[];
    /** Clock reading when the first engine went on after its first silence; undefined before. */
    readonly wentOnMs: number | undefined;
}

interface ScriptedEngine {
    readonly script: EngineScript;
    readonly isFirst: boolean;
    readonly silentBefore: Set<string>;
    /** Open exchanges and what breaks them. */
    readonly open: Map<SilentExchange, AnswerSink>;
    /** What exchanges do once the engine's silence ends. */
    readonly waiting: (() => void)[];
    isSilent: boolean;
    isGone: boolean;
}

/** Number of events of the whole stream. */
const EVENTS = 10;
/** Interval between two events, in milliseconds. */
const EVENT_MS = 60;
/** Interval between the two parts of an event, in milliseconds. */
const PART_MS = 10;
/** Time until an engine refuses a request, in milliseconds. */
const REFUSED_MS = 5;
/** Places at which the first and the other engines divide each event, so that a mixture of their parts shows. */
const SPLITS = { first: 3, other: 9 } as const;

/** The events of the whole stream. */
export const STREAM: readonly string[] = [...Array(EVENTS).keys()].map(at => `id: ${at + 1}\ndata: w${at}\n\n`);

/**
 * Creates engines that follow scripts, which they take in the order in which they are asked.
 *
 * @param clock - The clock of the test
 * @param scripts - What the engines do, in this order; the last one holds for all further engines
 * @returns the engines and the record of their exchanges
 *
 * @example
 * const { transport, exchanges } = createSilentEngines(clock, [first, second]);
 */
export function createSilentEngines(clock: ManualClock, scripts: readonly EngineScript[]): SilentEngines {
    const engines = new Map<EngineId, ScriptedEngine>();
    const exchanges: SilentExchange[] = [];
    const secondListeners: (() => void)[] = [];
    let wentOnMs: number | undefined;
    const startEngine = (id: EngineId): ScriptedEngine => {
        const isFirst = engines.size === 0;
        const script = scripts[Math.min(engines.size, scripts.length - 1)];
        if (script === undefined) {
            throw new Error("no script");
        }
        const silentBefore = new Set(script.silentBefore);
        const engine: ScriptedEngine = {
            script,
            isFirst,
            silentBefore,
            open: new Map(),
            waiting: [],
            isSilent: false,
            isGone: false,
        };
        engines.set(id, engine);
        return engine;
    };
    const close = (engine: ScriptedEngine, exchange: SilentExchange, end: SilentExchange["end"]): void => {
        if (engine.open.delete(exchange)) {
            exchange.closedMs = clock.nowMs();
            exchange.end = end;
        }
    };
    const endSilence = (engine: ScriptedEngine): void => {
        if (!engine.isSilent) {
            return;
        }
        engine.isSilent = false;
        if (engine.isFirst) {
            wentOnMs ??= clock.nowMs();
        }
        if (engine.script.afterSilence === "breaks off") {
            engine.isGone = true;
            [...engine.open].forEach(([exchange, sink]) => {
                close(engine, exchange, "broken");
                sink.fail({ kind: "broken", reason: "ECONNRESET" });
            });
        }
        engine.waiting.splice(0).forEach(goOn => goOn());
    };
    const fallSilent = (engine: ScriptedEngine): void => {
        const { silenceMs, endsAfterSecondMs } = engine.script;
        engine.isSilent = true;
        clock.setTimer(silenceMs, () => endSilence(engine));
        if (endsAfterSecondMs !== undefined) {
            secondListeners.push(() => void clock.setTimer(endsAfterSecondMs, () => endSilence(engine)));
        }
    };
    /** Sends the next parts of a stream until the engine falls silent or the exchange is closed. */
    const sendParts = (engine: ScriptedEngine, exchange: SilentExchange, parts: readonly StreamPart[]): void => {
        const [part, ...rest] = parts;
        const sink = engine.open.get(exchange);
        if (part === undefined || sink === undefined) {
            return;
        }
        if (engine.silentBefore.delete(part.name)) {
            fallSilent(engine);
        }
        if (engine.isSilent) {
            engine.waiting.push(() => sendParts(engine, exchange, parts));
            return;
        }
        if (part.name === "head") {
            exchange.beganMs = clock.nowMs();
        }
        if (rest.length === 0) {
            close(engine, exchange, engine.script.afterSilence === "refuses as full" ? "refused" : "sent");
        }
        part.send(sink);
        clock.setTimer(rest[0]?.afterMs ?? 0, () => sendParts(engine, exchange, rest));
    };
    const answer = (engine: ScriptedEngine, exchange: SilentExchange, req: EngineRequest): void => {
        const { kind, beginMs, afterSilence } = engine.script;
        if (kind === "stream" && !engine.isGone) {
            const parts = afterSilence === "refuses as full" ? listRefusal(req) : listParts(req, engine.isFirst);
            clock.setTimer(beginMs, () => sendParts(engine, exchange, parts));
            return;
        }
        if (kind === "mute") {
            return;
        }
        clock.setTimer(REFUSED_MS, () => {
            const sink = engine.open.get(exchange);
            close(engine, exchange, "refused");
            if (kind === "full" || kind === "failing") {
                sink?.head(createHead(req, kind === "full" ? 503 : 500, kind === "full"));
                sink?.end();
            }
            else {
                sink?.fail({ kind: "unsent", reason: "ECONNREFUSED" });
            }
        });
    };
    const transport: EngineTransport = {
        send(req, sink) {
            const { id } = req.target;
            const engine = engines.get(id) ?? startEngine(id);
            const exchange: SilentExchange = {
                isFirst: engine.isFirst,
                sentMs: clock.nowMs(),
                beganMs: undefined,
                closedMs: undefined,
                end: undefined,
            };
            exchanges.push(exchange);
            engine.open.set(exchange, sink);
            if (!engine.isFirst) {
                secondListeners.splice(0).forEach(listener => listener());
            }
            answer(engine, exchange, req);
            return { cancel: () => close(engine, exchange, "cancelled"), resume: () => undefined };
        },
        forget: () => undefined,
        close: () => undefined,
    };
    return {
        transport,
        exchanges,
        get wentOnMs() {
            return wentOnMs;
        },
    };
}

/** A part of a stream: the head, the first or second part of an event, or the end. */
interface StreamPart {
    readonly name: string;
    /** Time after the part before it, in milliseconds. */
    readonly afterMs: number;
    readonly send: (sink: AnswerSink) => void;
}

/** Lists the parts of the stream that a request asks for. */
function listParts(req: EngineRequest, isFirst: boolean): readonly StreamPart[] {
    const split = isFirst ? SPLITS.first : SPLITS.other;
    const events = STREAM.flatMap((text, at): readonly StreamPart[] => {
        const [start, rest] = [text.slice(0, split), text.slice(split)].map(part => Buffer.from(part));
        return [
            { name: `event ${at + 1}`, afterMs: EVENT_MS, send: sink => void (start && sink.piece(start)) },
            { name: `rest ${at + 1}`, afterMs: PART_MS, send: sink => void (rest && sink.piece(rest)) },
        ];
    });
    return [
        { name: "head", afterMs: 0, send: sink => sink.head(createHead(req, 200, false)) },
        ...events.slice(2 * Number(req.lastEventId ?? 0)),
        { name: "end", afterMs: PART_MS, send: sink => sink.end() },
    ];
}

/** Lists the parts of a refusal. */
function listRefusal(req: EngineRequest): readonly StreamPart[] {
    return [
        { name: "head", afterMs: 0, send: sink => sink.head(createHead(req, 503, true)) },
        { name: "end", afterMs: 0, send: sink => sink.end() },
    ];
}

function createHead(req: EngineRequest, status: number, isNotRun: boolean): EngineAnswerHead {
    return {
        status,
        framing: "chunks",
        headers: [],
        requestId: req.requestId,
        isNotRun,
        load: undefined,
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    };
}
