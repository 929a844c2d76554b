import type { AnswerSink, EngineProbe, EngineRequest, EngineTransport } from "@fulmarcleat/directory";
import type { Clock, EngineId, HostId, Random, ServiceName } from "@fulmarcleat/ids";
import type { FleetCut } from "./frontFleet.steps.js";

/** Paths from hosts to engines, some of which are cut at times. */
export interface FleetPaths {
    cut(next: FleetCut): void;
    /** Heals all paths; exchanges that hang go on hanging. */
    heal(): void;
    /** Creates a host's transport over its paths. */
    createTransport(host: HostId): EngineTransport;
    /** Probes an engine over a host's path to it. */
    probe(host: HostId, engine: EngineId): Promise<EngineProbe>;
}

/** What the paths lead to. */
export interface FleetPathsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly readService: (engine: EngineId) => ServiceName | undefined;
    /** Brings a request to its engine; returns what cancels it there. */
    readonly deliver: (host: HostId, req: EngineRequest, sink: AnswerSink) => () => void;
    readonly probeEngine: (engine: EngineId) => EngineProbe;
}

/** What becomes of a new exchange on a path. */
type Way =
    | { readonly kind: "open" }
    /** Its answer does not come back. */
    | { readonly kind: "hung" }
    | { readonly kind: "unsent"; readonly afterMs: number; readonly reason: string };

/** One exchange in flight. */
interface OpenExchange {
    readonly host: HostId;
    readonly service: ServiceName | undefined;
    readonly fail: AnswerSink["fail"];
    isHung: boolean;
}

/** Time until a refusal of a connection, or an answer to a probe, arrives, in milliseconds. */
const REFUSED_MS = 2;
/** Time until a connection that gets no answer is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** Time after a cut in which hosts still have kept connections, in milliseconds. */
const KEPT_MS = 1000;
/** Share of the exchanges on kept connections within that time. */
const KEPT_SHARE = 0.5;
/** Share of the sends that are refused where only new connections are. */
const NEW_SHARE = 0.5;

const OPEN: Way = { kind: "open" };
const REFUSED: Way = { kind: "unsent", afterMs: REFUSED_MS, reason: "ECONNREFUSED" };
const UNANSWERED: Way = { kind: "unsent", afterMs: CONNECT_TIMEOUT_MS, reason: "UND_ERR_CONNECT_TIMEOUT" };

/**
 * Creates the paths from hosts to engines, none of them cut.
 *
 * @param options - Clock, random numbers, and the engines
 * @returns the paths
 *
 * @example
 * const paths = createFleetPaths({ clock, random, readService, deliver, probeEngine });
 * paths.cut({ hosts: [host], how: "hang", service: undefined });
 */
export function createFleetPaths(options: FleetPathsOptions): FleetPaths {
    const { clock, random } = options;
    const exchanges = new Set<OpenExchange>();
    let current: FleetCut | undefined;
    let cutMs = 0;
    const findCut = (host: HostId, service: ServiceName | undefined): FleetCut | undefined =>
        current?.hosts.includes(host) === true && (current.service ?? service) === service ? current : undefined;
    const drawWay = (host: HostId, service: ServiceName | undefined): Way => {
        const how = findCut(host, service)?.how;
        switch (how) {
            case undefined:
                return OPEN;
            case "hang":
                return clock.nowMs() - cutMs < KEPT_MS && random.next() < KEPT_SHARE ? { kind: "hung" } : UNANSWERED;
            case "reset":
                return REFUSED;
            case "new refused":
                return random.next() < NEW_SHARE ? REFUSED : OPEN;
        }
    };
    const open = (host: HostId, req: EngineRequest, sink: AnswerSink, isHung: boolean): () => void => {
        const isOpen = (): boolean => exchanges.has(exchange) && !exchange.isHung;
        const close = (): void => void exchanges.delete(exchange);
        const fail: AnswerSink["fail"] = failure => {
            if (isOpen()) {
                close();
                sink.fail(failure);
            }
        };
        const exchange: OpenExchange = { host, service: options.readService(req.target.id), fail, isHung };
        exchanges.add(exchange);
        const cancel = options.deliver(host, req, {
            head: head => isOpen() ? sink.head(head) : undefined,
            piece: bytes => !isOpen() || sink.piece(bytes),
            end() {
                if (isOpen()) {
                    close();
                    sink.end();
                }
            },
            fail,
        });
        return () => {
            close();
            cancel();
        };
    };
    return {
        cut(next) {
            current = next;
            cutMs = clock.nowMs();
            const hit = [...exchanges].filter(({ host, service }) => findCut(host, service) !== undefined);
            switch (next.how) {
                case "hang":
                    hit.forEach(exchange => void (exchange.isHung = true));
                    return;
                case "reset":
                    hit.forEach(({ fail }) => fail({ kind: "broken", reason: "ECONNRESET" }));
                    return;
                case "new refused":
                    return;
            }
        },
        heal: () => void (current = undefined),
        createTransport: host => ({
            send(req, sink) {
                const way = drawWay(host, options.readService(req.target.id));
                const cancel = way.kind === "unsent"
                    ? clock.setTimer(way.afterMs, () => sink.fail({ kind: "unsent", reason: way.reason }))
                    : open(host, req, sink, way.kind === "hung");
                return { cancel: () => void cancel(), resume: () => undefined };
            },
            forget: () => undefined,
            close: () => undefined,
        }),
        probe: (host, engine) =>
            new Promise(resolve => {
                const way = drawWay(host, options.readService(engine));
                switch (way.kind) {
                    case "open":
                        clock.setTimer(REFUSED_MS, () => resolve(options.probeEngine(engine)));
                        return;
                    case "hung":
                        clock.setTimer(CONNECT_TIMEOUT_MS, () => resolve("unclear"));
                        return;
                    case "unsent":
                        clock.setTimer(way.afterMs, () => resolve(way === REFUSED ? "gone" : "unclear"));
                        return;
                }
            }),
    };
}
