import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** Labels of one counter. */
export type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
    /** Adds to a counter. */
    count(name: string, labels?: Labels, by?: number): void;
    /** Sets a gauge. */
    set(name: string, value: number, labels?: Labels): void;
    /** Records a duration in milliseconds. */
    record(name: string, valueMs: number, labels?: Labels): void;
    /** Value of a counter or gauge, for tests and reports. */
    read(name: string, labels?: Labels): number;
    /** Everything in the Prometheus text format. */
    expose(): Promise<string>;
}

const QUANTILES = [50, 95, 99] as const;
const PREFIX = "fulmarcleat_";

/**
 * Creates the metrics of one process.
 *
 * @returns the metrics
 *
 * @example
 * metrics.count("refusals_total", { reason: "queue_full" });
 */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();
    const values = new Map<string, number>();
    return {
        count(name, labels = {}, by = 1) {
            const counter = ensure(
                counters,
                name,
                () =>
                    new Counter({
                        name: PREFIX + name,
                        help: name,
                        labelNames: Object.keys(labels),
                        registers: [registry],
                    }),
            );
            counter.inc(labels, by);
            const key = formatSeries(name, labels);
            values.set(key, (values.get(key) ?? 0) + by);
        },
        set(name, value, labels = {}) {
            const gauge = ensure(
                gauges,
                name,
                () =>
                    new Gauge({
                        name: PREFIX + name,
                        help: name,
                        labelNames: Object.keys(labels),
                        registers: [registry],
                    }),
            );
            gauge.set(labels, value);
            values.set(formatSeries(name, labels), value);
        },
        record(name, valueMs, labels = {}) {
            const histogram = ensure(histograms, formatSeries(name, labels), () => buildHistogram());
            histogram.recordValue(Math.max(0, Math.round(valueMs)));
        },
        read: (name, labels = {}) => values.get(formatSeries(name, labels)) ?? 0,
        expose: async () => `${await registry.metrics()}${exposeHistograms(histograms)}`,
    };
}

function ensure<T>(map: Map<string, T>, key: string, create: () => T): T {
    const present = map.get(key);
    if (present !== undefined) {
        return present;
    }
    const created = create();
    map.set(key, created);
    return created;
}

function formatSeries(name: string, labels: Labels): string {
    return `${PREFIX}${name}${formatLabels(Object.entries(labels))}`;
}

function formatLabels(entries: readonly (readonly [string, string])[]): string {
    return entries.length === 0 ? "" : `{${entries.map(([key, value]) => `${key}="${value}"`).join(",")}}`;
}

function exposeHistograms(histograms: ReadonlyMap<string, Histogram>): string {
    const lines: string[] = [];
    for (const [series, histogram] of histograms) {
        const { name, labels } = splitSeries(series);
        for (const quantile of QUANTILES) {
            const inner = [labels, `quantile="0.${quantile}"`].filter(part => part !== "").join(",");
            lines.push(`${name}_ms{${inner}} ${histogram.getValueAtPercentile(quantile)}`);
        }
        lines.push(`${name}_ms_count${labels === "" ? "" : `{${labels}}`} ${histogram.totalCount}`);
    }
    return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
}

function splitSeries(series: string): { name: string; labels: string } {
    const brace = series.indexOf("{");
    return brace < 0
        ? { name: series, labels: "" }
        : { name: series.slice(0, brace), labels: series.slice(brace + 1, -1) };
}
