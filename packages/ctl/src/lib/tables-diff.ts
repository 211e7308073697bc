/** Compares two versions of the tables row by row. */
import type { Pool, Route, Tables } from "@cassiapick/core";

export enum RowChange {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** A changed field of a row. */
export interface FieldChange {
    field: string;
    before: string;
    after: string;
}

/** A changed row. */
export interface RowDiff {
    table: "routes" | "pools";
    change: RowChange;
    /** Key of the row: "brand/kind" of a route, or the destination of a pool. */
    row: string;
    fields: FieldChange[];
}

const unset = "(unset)";
type Row = object;

const fieldChanges = (before: Row, after: Row): FieldChange[] => {
    const beforeByField = new Map(Object.entries(before));
    const afterByField = new Map(Object.entries(after));
    return [...new Set([...beforeByField.keys(), ...afterByField.keys()])]
        .map(field => ({
            field,
            before: String(beforeByField.get(field) ?? unset),
            after: String(afterByField.get(field) ?? unset),
        }))
        .filter(change => change.before !== change.after);
};

const diffRows = <R extends Row>(table: RowDiff["table"], before: R[], after: R[], keyOf: (row: R) => string): RowDiff[] => {
    const beforeByKey = new Map(before.map(row => [keyOf(row), row]));
    const afterByKey = new Map(after.map(row => [keyOf(row), row]));
    return [...new Set([...beforeByKey.keys(), ...afterByKey.keys()])].sort().flatMap((row): RowDiff[] => {
        const beforeRow = beforeByKey.get(row);
        const afterRow = afterByKey.get(row);
        const fields = fieldChanges(beforeRow ?? {}, afterRow ?? {});
        if (fields.length === 0) {
            return [];
        }
        if (beforeRow === undefined) {
            return [{ table, change: RowChange.Added, row, fields }];
        }
        return [{ table, change: afterRow === undefined ? RowChange.Removed : RowChange.Changed, row, fields }];
    });
};

const routeKey = (route: Route): string => `${route.brand}/${route.kind}`;
const poolKey = (pool: Pool): string => pool.destination;

/** Compares two versions of the tables; ignores the order of rows. */
export const diffTables = (before: Tables, after: Tables): RowDiff[] => [
    ...diffRows("pools", before.pools, after.pools, poolKey),
    ...diffRows("routes", before.routes, after.routes, routeKey),
];

const changeMarkers: Record<RowChange, string> = { [RowChange.Added]: "+", [RowChange.Removed]: "-", [RowChange.Changed]: "~" };

const renderFields = (diff: RowDiff): string => {
    if (diff.change === RowChange.Removed) {
        return "";
    }
    const fieldTexts = diff.change === RowChange.Added
        ? diff.fields.map(({ field, after }) => `${field}=${after}`)
        : diff.fields.map(({ field, before, after }) => `${field}: ${before} -> ${after}`);
    return ` (${fieldTexts.join(", ")})`;
};

/** Counts the rows by kind of change. */
export const countChanges = (diffs: RowDiff[]): Record<RowChange, number> => {
    const counts = { [RowChange.Added]: 0, [RowChange.Removed]: 0, [RowChange.Changed]: 0 };
    for (const { change } of diffs) {
        counts[change] += 1;
    }
    return counts;
};

/** Renders a comparison as text: one line per row, then the totals. */
export const renderDiff = (diffs: RowDiff[]): string => {
    if (diffs.length === 0) {
        return "No change.";
    }
    const counts = countChanges(diffs);
    const lines = diffs.map(diff => `${changeMarkers[diff.change]} ${diff.table} ${diff.row}${renderFields(diff)}`);
    const total = `${counts.added} added, ${counts.removed} removed, ${counts.changed} changed.`;
    return [...lines, total].join("\n");
};
