/** What a change of the tables would do, row by row. */
import type { Pool, Route, Tables } from "@cassiapick/core";

export enum RowChange {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One field of a row that changes. */
export interface FieldChange {
    field: string;
    before: string;
    after: string;
}

/** One row that changes. */
export interface RowDiff {
    table: "routes" | "pools";
    change: RowChange;
    /** What identifies the row: "brand/kind" or the destination. */
    row: string;
    fields: FieldChange[];
}

const unset = "(unset)";
type Row = object;

const fieldChanges = (before: Row, after: Row): FieldChange[] => {
    const olds = new Map(Object.entries(before));
    const news = new Map(Object.entries(after));
    return [...new Set([...olds.keys(), ...news.keys()])]
        .map(field => ({ field, before: String(olds.get(field) ?? unset), after: String(news.get(field) ?? unset) }))
        .filter(change => change.before !== change.after);
};

const diffRows = <R extends Row>(table: RowDiff["table"], before: R[], after: R[], keyOf: (row: R) => string): RowDiff[] => {
    const olds = new Map(before.map(row => [keyOf(row), row]));
    const news = new Map(after.map(row => [keyOf(row), row]));
    return [...new Set([...olds.keys(), ...news.keys()])].sort().flatMap((row): RowDiff[] => {
        const old = olds.get(row);
        const next = news.get(row);
        const fields = fieldChanges(old ?? {}, next ?? {});
        if (fields.length === 0) {
            return [];
        }
        if (old === undefined) {
            return [{ table, change: RowChange.Added, row, fields }];
        }
        return [{ table, change: next === undefined ? RowChange.Removed : RowChange.Changed, row, fields }];
    });
};

const routeKey = (route: Route): string => `${route.brand}/${route.kind}`;
const poolKey = (pool: Pool): string => pool.destination;

/** Compares two states of the tables; the order of rows does not matter. */
export const diffTables = (before: Tables, after: Tables): RowDiff[] => [
    ...diffRows("pools", before.pools, after.pools, poolKey),
    ...diffRows("routes", before.routes, after.routes, routeKey),
];

const marks: Record<RowChange, string> = { [RowChange.Added]: "+", [RowChange.Removed]: "-", [RowChange.Changed]: "~" };

const renderFields = (diff: RowDiff): string => {
    if (diff.change === RowChange.Removed) {
        return "";
    }
    const parts = diff.change === RowChange.Added
        ? diff.fields.map(({ field, after }) => `${field}=${after}`)
        : diff.fields.map(({ field, before, after }) => `${field}: ${before} -> ${after}`);
    return ` (${parts.join(", ")})`;
};

/** How many rows of each change there are. */
export const countChanges = (diffs: RowDiff[]): Record<RowChange, number> => {
    const counts = { [RowChange.Added]: 0, [RowChange.Removed]: 0, [RowChange.Changed]: 0 };
    for (const { change } of diffs) {
        counts[change] += 1;
    }
    return counts;
};

/** Renders a comparison for people, one row a line and the totals last. */
export const renderDiff = (diffs: RowDiff[]): string => {
    if (diffs.length === 0) {
        return "No change.";
    }
    const counts = countChanges(diffs);
    const lines = diffs.map(diff => `${marks[diff.change]} ${diff.table} ${diff.row}${renderFields(diff)}`);
    const total = `${counts.added} added, ${counts.removed} removed, ${counts.changed} changed.`;
    return [...lines, total].join("\n");
};
