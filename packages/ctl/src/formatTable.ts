/**
 * Formats rows of cells as lines with aligned columns.
 *
 * @param rows - Rows of cells; the first row holds the column headings
 * @returns one line for each row
 *
 * @example
 * formatTable([["NAME", "VERSION"], ["levy", "7"]]).forEach(line => write(line));
 */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = (rows[0] ?? []).map((head, column) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
