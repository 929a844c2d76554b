/**
 * Renders a table as HTML and escapes its texts.
 *
 * @param head - Column headings, as plain text
 * @param rows - Cells of each row, as plain text
 * @returns the HTML of the table
 *
 * @example
 * renderTable(["policy", "loads"], [["a < b", "3"]]);
 */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const cells = (tag: string, row: readonly string[]): string =>
        `<tr>${row.map(text => `<${tag}>${escapeHtml(text)}</${tag}>`).join("")}</tr>`;
    return `<table>${cells("th", head)}${rows.map(row => cells("td", row)).join("")}</table>`;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
