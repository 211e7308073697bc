/** Renders text tables with aligned columns. */

const columnGap = "  ";

/** Renders a header and rows; every column is as wide as its widest cell. */
export const renderTable = (header: string[], rows: string[][]): string => {
    const allRows = [header, ...rows];
    const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? "").length)));
    return allRows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(columnGap).trimEnd())
        .join("\n");
};
