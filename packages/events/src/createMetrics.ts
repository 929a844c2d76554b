import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** Labels of one metric: values by name. */
export type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
    /** Adds to a counter. */
    count(name: string, labels?: Labels, by?: number): void;
    /** Sets a gauge. */
    set(name: string, value: number, labels?: Labels): void;
    /** Records a duration in milliseconds. */
    record(name: string, valueMs: number, labels?: Labels): void;
    /** Returns the value of a counter or gauge, 0 if it was never set; for tests and reports. */
    read(name: string, labels?: Labels): number;
    /** Returns all metrics in the Prometheus text format. */
    expose(): Promise<string>;
}

/** Percentiles of a histogram that are exposed. */
const QUANTILES = [50, 95, 99] as const;
const PREFIX = "fulmarcleat_";

/**
 * Creates the metrics of one process. Names are exposed with the prefix `fulmarcleat_`.
 *
 * @returns the metrics, all empty
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
            const counter = getOrCreate(
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
            const gauge = getOrCreate(
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
            const histogram = getOrCreate(histograms, formatSeries(name, labels), () => buildHistogram());
            histogram.recordValue(Math.max(0, Math.round(valueMs)));
        },
        read: (name, labels = {}) => values.get(formatSeries(name, labels)) ?? 0,
        expose: async () => `${await registry.metrics()}${formatHistograms(histograms)}`,
    };
}

function getOrCreate<T>(map: Map<string, T>, key: string, create: () => T): T {
    const existing = map.get(key);
    if (existing !== undefined) {
        return existing;
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

function formatHistograms(histograms: ReadonlyMap<string, Histogram>): string {
    const lines: string[] = [];
    for (const [series, histogram] of histograms) {
        const { name, labels } = splitSeries(series);
        for (const quantile of QUANTILES) {
            const quantileLabels = [labels, `quantile="0.${quantile}"`].filter(part => part !== "").join(",");
            lines.push(`${name}_ms{${quantileLabels}} ${histogram.getValueAtPercentile(quantile)}`);
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
