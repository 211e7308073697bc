/** Rows of text in aligned columns. */

const gap = "  ";

/** Renders a head and rows; every column is as wide as its widest cell. */
export const renderTable = (head: string[], rows: string[][]): string => {
    const all = [head, ...rows];
    const widths = head.map((_, column) => Math.max(...all.map(row => (row[column] ?? "").length)));
    return all
        .map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(gap).trimEnd())
        .join("\n");
};
