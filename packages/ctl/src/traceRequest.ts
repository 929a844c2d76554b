/** One line of a process's log. */
interface LogLine {
    /** Wall time in milliseconds since the epoch. */
    readonly t: number;
    readonly process: string;
    readonly event: number;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Engine events that far around a request are told with it, in milliseconds. */
const AROUND_MS = 1500;
const OWN_FIELDS = new Set(["t", "level", "process", "event", "message", "id"]);
/** Events of engines: listed, draining, gone, owned, lost, loads, silence and orders. */
const ENGINE_EVENTS = new Set([210, 211, 212, 300, 301, 302, 304, 307, 308]);

/**
 * Puts together a request's way from the logs of several processes.
 *
 * @param texts - Contents of log files, in any order
 * @param id - The request's id
 * @returns one line for each event, oldest first; none where the logs don't name the request
 *
 * @example
 * traceRequest([log1, log2], "9c41d07be2a35f68").forEach(line => console.log(line));
 */
export function traceRequest(texts: readonly string[], id: string): readonly string[] {
    const lines = texts.flatMap(text => text.split("\n").map(parseLine)).filter(line => line !== undefined);
    const own = lines.filter(line => line.fields["id"] === id).sort((a, b) => a.t - b.t);
    const first = own[0];
    const last = own.at(-1);
    if (first === undefined || last === undefined) {
        return [];
    }
    const engines = new Set<unknown>(own.map(line => line.fields["engine"]).filter(engine => engine !== undefined));
    const adapters = new Set<unknown>(own.map(line => line.fields["adapter"]).filter(adapter => adapter !== undefined));
    const isAround = ({ t, event, fields }: LogLine): boolean =>
        fields["id"] === undefined && ENGINE_EVENTS.has(event) && t >= first.t - AROUND_MS && t <= last.t + AROUND_MS
        && engines.has(fields["engine"]) && (fields["adapter"] === undefined || adapters.has(fields["adapter"]));
    return [...own, ...lines.filter(isAround)]
        .sort((a, b) => a.t - b.t)
        .map(line => formatLine(line, first.t));
}

/** A collector may put its own columns in front of a line. */
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
        // Other programs' lines, and lines that were cut, tell nothing of the request.
        return undefined;
    }
}

function formatLine({ t, process, event, message, fields }: LogLine, startMs: number): string {
    const details = Object.entries(fields)
        .filter(([key]) => !OWN_FIELDS.has(key))
        .map(([key, value]) => `${key}=${String(value)}`);
    return [`${t - startMs} ms`.padStart(9), process, String(event), message, ...details].join("  ");
}
