import type { EnginePace } from "@fulmarcleat/dispatch";
import type { EngineId, ServiceName } from "@fulmarcleat/ids";
import type { FrontContext } from "../frontContext.js";

/** Interval between two log lines with learned speeds, over all services, in milliseconds. */
const LOG_INTERVAL_MS = 60_000;
/** Most engines in one log line; the next line goes on with the others. */
const MAX_LOGGED_ENGINES = 16;

/**
 * Creates a function that reports learned speeds in the log and as metrics, at most once a minute over all services.
 *
 * @param context - Clock, metrics and log
 * @returns the function, to be called with a service, its engines and a reader of their speeds
 *
 * @example
 * const report = reportPaces(context);
 * report(service, engines, engine => readPace(engine));
 */
export function reportPaces(
    { clock, log, metrics }: Pick<FrontContext, "clock" | "log" | "metrics">,
): (
    service: ServiceName,
    engines: readonly EngineId[],
    readPace: (engine: EngineId) => EnginePace | undefined,
) => void {
    let lastLogMs = clock.nowMs();
    const lastServices = new Map<ServiceName, number>();
    const offsets = new Map<ServiceName, number>();
    return (service, engines, readPace) => {
        const atMs = clock.nowMs();
        if (!lastServices.has(service)) {
            lastServices.set(service, lastLogMs);
        }
        const isLongestAgo = [...lastServices.values()].every(ms => ms >= (lastServices.get(service) ?? 0));
        // A service whose engines have gone must not keep the others from the log.
        const waitedMs = atMs - lastLogMs;
        if (waitedMs < LOG_INTERVAL_MS || !isLongestAgo && waitedMs < 2 * LOG_INTERVAL_MS) {
            return;
        }
        lastLogMs = atMs;
        lastServices.set(service, atMs);
        const paces = engines.flatMap(engine => {
            const pace = readPace(engine);
            return pace === undefined ? [] : [{ engine, pace }];
        });
        const offset = (offsets.get(service) ?? 0) % Math.max(1, paces.length);
        offsets.set(service, offset + MAX_LOGGED_ENGINES);
        log.write("info", 312, {
            service,
            engines: paces.length,
            paces: paces.slice(offset, offset + MAX_LOGGED_ENGINES).map(({ engine, pace }) =>
                `${engine}=${formatPace(pace)}`
            ).join(" "),
        });
        const setGauges = (name: string, values: readonly number[]): void => {
            const sorted = [...values].sort((first, second) => first - second);
            const ranks = { lowest: sorted[0], median: sorted[sorted.length >> 1], highest: sorted.at(-1) };
            Object.entries(ranks).forEach(([rank, value]) => metrics.set(name, value ?? 0, { service, rank }));
        };
        setGauges("engine_tokens_per_ms", paces.map(({ pace }) => pace.promptTokensPerMs));
        setGauges("engine_event_ms", paces.map(({ pace }) => pace.eventMs));
        setGauges("engine_idle_first_byte_ms", paces.map(({ pace }) => pace.idleFirstByteMs));
        setGauges("engine_work_ms", paces.map(({ pace }) => pace.workMs));
    };
}

/** Formats a speed: prompt tokens per ms, ms between events, ms to the first byte at the idle engine, ms of work. */
function formatPace({ promptTokensPerMs, eventMs, idleFirstByteMs, workMs }: EnginePace): string {
    return [promptTokensPerMs, eventMs, idleFirstByteMs, workMs].map(value => value.toFixed(1)).join("/");
}
