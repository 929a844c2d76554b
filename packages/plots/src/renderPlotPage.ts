import { readFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

/** Content of an HTML page with plots. */
export interface PlotPage {
    /** HTML of the page's title. */
    readonly title: string;
    /** HTML of the page; it contains an element with the id `plots`. */
    readonly body: string;
    /** Data that can be serialized as JSON, available to the script as `data`. */
    readonly data: unknown;
    /** JavaScript that draws `data` with `uPlot`. */
    readonly script: string;
}

/**
 * Renders a self-contained HTML page with plots, which needs no network access.
 *
 * @param page - Title, body, data and drawing script
 * @returns the HTML of the page
 *
 * @example
 * await writeFile("report.html", await renderPlotPage({ title, body, data, script }));
 */
export async function renderPlotPage({ title, body, data, script }: PlotPage): Promise<string> {
    const dist = dirname(createRequire(import.meta.url).resolve("uplot"));
    const library = await readFile(join(dist, "uPlot.iife.min.js"), "utf8");
    const style = await readFile(join(dist, "uPlot.min.css"), "utf8");
    return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${title}</title><style>${style}
body { font: 14px sans-serif; margin: 2em; } td, th { padding: 0.2em 0.8em; text-align: right; }</style></head>
<body>
${body}
<script>${library}</script>
<script>
const data = ${JSON.stringify(data).replaceAll("<", "\\u003c")};
${script}
</script>
</body>
</html>
`;
}
