/** One line of a process's log. */
interface LogLine {
    /** Wall time in milliseconds since the epoch. */
    readonly t: number;
    readonly process: string;
    readonly event: number;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Engine events up to this long before or after the request are included in its trace, in milliseconds. */
const ENGINE_EVENT_MARGIN_MS = 1500;
/** Fields that are printed in fixed columns or left out. */
const COMMON_FIELDS = new Set(["t", "level", "process", "event", "message", "id"]);
/** Numbers of engine events: listed, draining, removed, ownership, adapter loads, no answer and orders. */
const ENGINE_EVENTS = new Set([210, 211, 212, 300, 301, 302, 304, 307, 308]);

/**
 * Traces a request through the logs of several processes. Events of its engine at about the same time are included.
 *
 * @param texts - Contents of the log files, in any order
 * @param id - Id of the request
 * @returns one line for each event, oldest first; empty if the request is not in the logs
 *
 * @example
 * traceRequest([log1, log2], "9c41d07be2a35f68").forEach(line => console.log(line));
 */
export function traceRequest(texts: readonly string[], id: string): readonly string[] {
    const lines = texts.flatMap(text => text.split("\n").map(parseLine)).filter(line => line !== undefined);
    const requestLines = lines.filter(line => line.fields["id"] === id).sort((a, b) => a.t - b.t);
    const first = requestLines[0];
    const last = requestLines.at(-1);
    if (first === undefined || last === undefined) {
        return [];
    }
    const engines = new Set<unknown>(
        requestLines.map(line => line.fields["engine"]).filter(engine => engine !== undefined),
    );
    const adapters = new Set<unknown>(
        requestLines.map(line => line.fields["adapter"]).filter(adapter => adapter !== undefined),
    );
    const isRelatedEngineEvent = ({ t, event, fields }: LogLine): boolean =>
        fields["id"] === undefined && ENGINE_EVENTS.has(event) && t >= first.t - ENGINE_EVENT_MARGIN_MS
        && t <= last.t + ENGINE_EVENT_MARGIN_MS
        && engines.has(fields["engine"]) && (fields["adapter"] === undefined || adapters.has(fields["adapter"]));
    return [...requestLines, ...lines.filter(isRelatedEngineEvent)]
        .sort((a, b) => a.t - b.t)
        .map(line => formatLine(line, first.t));
}

/** Parses one log line; a log collector may have put its own columns in front of the JSON. */
function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const { t, process, event, message } = fields;
        return typeof t === "number" && typeof event === "number"
            ? { t, process: String(process), event, message: String(message), fields }
            : undefined;
    }
    catch {
        // Lines of other programs and truncated lines are ignored.
        return undefined;
    }
}

function formatLine({ t, process, event, message, fields }: LogLine, startMs: number): string {
    const details = Object.entries(fields)
        .filter(([key]) => !COMMON_FIELDS.has(key))
        .map(([key, value]) => `${key}=${String(value)}`);
    return [`${t - startMs} ms`.padStart(9), process, String(event), message, ...details].join("  ");
}
