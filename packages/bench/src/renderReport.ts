import { renderPlotPage, renderTable } from "@fulmarcleat/plots";
import type { BoundFigures } from "./computeStallBound.js";
import type { Deployment } from "./deployment.js";
import type { PolicyFigures } from "./summarizeRun.js";

/** Holds the results of one call of the benchmark. */
export interface BenchResult {
    readonly scenario: string;
    readonly deployment: Deployment;
    readonly seed: number;
    readonly seconds: number;
    /** Load average of the machine over one minute, before and after the runs. */
    readonly machineLoad: { readonly before: number; readonly after: number };
    /** Figures by name of the policy. */
    readonly policies: Readonly<Record<string, PolicyFigures | BoundFigures>>;
}

const WIDTH_PX = 900;
const HEIGHT_PX = 320;

/**
 * Renders the results of one call as an HTML page with plots; the page loads nothing from the network.
 *
 * @param result - Results to render
 * @returns the HTML of the page
 *
 * @example
 * await writeFile("report.html", await renderReport(result));
 */
export function renderReport(result: BenchResult): Promise<string> {
    const runs = Object.entries(result.policies).flatMap(([name, figures]) =>
        "stalls" in figures ? [{ name, stalls: figures.stalls }] : []
    );
    const title = `${result.scenario}, ${result.deployment.name}, seed ${result.seed}, ${result.seconds} s`;
    return renderPlotPage({
        title,
        body: `<h1>${title}</h1>
${renderPolicies(result)}
<h2>Load stall of each request (s) by when it was sent (s)</h2>
<div id="plots"></div>`,
        data: runs,
        script: DRAW_STALLS,
    });
}

const DRAW_STALLS = `for (const { name, stalls } of data) {
    const sorted = stalls.slice().sort((a, b) => a.atMs - b.atMs);
    const points = [sorted.map(stall => stall.atMs / 1000), sorted.map(stall => stall.stallMs / 1000)];
    const series = [{ label: "sent at" }, { label: "load stall", stroke: "navy", paths: () => null, points: { show: true } }];
    new uPlot(
        { title: name, width: ${WIDTH_PX}, height: ${HEIGHT_PX}, scales: { x: { time: false } }, series },
        points,
        document.getElementById("plots"),
    );
}`;

function renderPolicies(result: BenchResult): string {
    const rows = Object.entries(result.policies).map(([name, figures]) => {
        const { all, urgent } = figures.loadStallMs;
        const measuredCells = "served" in figures
            ? [
                figures.served,
                figures.failed,
                figures.urgentTtftMs.p99.toFixed(0),
                figures.batchEfficiency.toFixed(3),
                figures.goodputTokensPerSecond.toFixed(0),
            ]
            : ["-", "-", "-", "-", "-"];
        return [name, figures.requests, figures.loads, all.mean.toFixed(0), urgent.mean.toFixed(0), ...measuredCells]
            .map(String);
    });
    const columnTitles = [
        "policy",
        "requests",
        "loads",
        "mean stall (ms)",
        "urgent mean stall (ms)",
        "served",
        "failed",
        "urgent TTFT p99 (ms)",
        "batch efficiency",
        "tokens/s",
    ];
    return renderTable(columnTitles, rows);
}
