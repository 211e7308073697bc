/** The two tables as YAML files. */
import type { Pool, Route, Tables } from "@cassiapick/core";
import { stringify } from "yaml";
import type { z } from "zod";
import { suggestName } from "./nearest-name.js";
import { knownFields, maxTablesChars, poolsSchema, routesSchema, tablesFormat } from "./tables-schema.js";
import { readYamlText } from "./yaml-places.js";
import type { YamlText } from "./yaml-places.js";

/** One of the two tables. */
export type TableName = "routes" | "pools";

/** A place in a tables file that is wrong. */
export interface TablesErr {
    kind: "tables-invalid";
    file: TableName;
    /** Line and column start at 1. */
    line: number;
    column: number;
    /** Where, as in "routes[3].destination". */
    place: string;
    message: string;
}

export type TablesResult = { ok: true; tables: Tables; } | { ok: false; errs: TablesErr[]; };

type FileResult<T> = { ok: true; value: T; yaml: YamlText; } | { ok: false; errs: TablesErr[]; };

const placeOf = (path: readonly PropertyKey[]): string =>
    path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("").replace(/^\./, "");

const createErr = (file: TableName, yaml: YamlText, path: readonly PropertyKey[], message: string): TablesErr => ({
    kind: "tables-invalid",
    file,
    ...yaml.placeOf(path),
    place: placeOf(path),
    message,
});

const hintFor = (file: TableName, key: string, fields: string[]): string =>
    key !== file && (key === "routes" || key === "pools")
        ? " The two files may be swapped: name the routes file first, then the pools file."
        : suggestName(key, fields);

const issueErrs = (file: TableName, yaml: YamlText, issue: z.core.$ZodIssue): TablesErr[] => {
    if (issue.code !== "unrecognized_keys") {
        return [createErr(file, yaml, issue.path, `${issue.message}.`)];
    }
    const fields = knownFields(file, issue.path);
    return issue.keys.map(key => ({
        ...createErr(file, yaml, [...issue.path, key], `The field '${key}' is not known.${hintFor(file, key, fields)}`),
        ...yaml.placeOfKey(issue.path, key),
    }));
};

const textErr = (file: TableName, line: number, column: number, message: string): TablesErr => ({
    kind: "tables-invalid",
    file,
    line,
    column,
    place: file,
    message,
});

const readFile = <T>(file: TableName, text: string, schema: z.ZodType<T>): FileResult<T> => {
    if (text.length > maxTablesChars) {
        const message = `The file has ${text.length} characters and the limit is ${maxTablesChars}. Remove rows.`;
        return { ok: false, errs: [textErr(file, 1, 1, message)] };
    }
    const read = readYamlText(text);
    if (!read.ok) {
        const message = `The file is not valid YAML: ${read.message}`;
        return { ok: false, errs: [textErr(file, read.place.line, read.place.column, message)] };
    }
    const { yaml } = read;
    const parsed = schema.safeParse(yaml.value);
    return parsed.success
        ? { ok: true, value: parsed.data, yaml }
        : { ok: false, errs: parsed.error.issues.flatMap(issue => issueErrs(file, yaml, issue)) };
};

const duplicateErrs = <R>(
    file: TableName,
    yaml: YamlText,
    rows: R[],
    keyOf: (row: R) => string,
    explain: (row: R) => string,
): TablesErr[] => {
    const lines = new Map<string, number>();
    return rows.flatMap((row, index) => {
        const key = keyOf(row);
        const first = lines.get(key);
        if (first === undefined) {
            lines.set(key, yaml.placeOf([file, index]).line);
            return [];
        }
        return [createErr(file, yaml, [file, index], `${explain(row)} stands in line ${first} already. Remove one of the rows.`)];
    });
};

const referenceErrs = (yaml: YamlText, routes: Route[], pools: Pool[]): TablesErr[] => {
    const destinations = new Set(pools.map(pool => pool.destination));
    return routes.flatMap((route, index) =>
        destinations.has(route.destination) ? [] : [createErr(
            "routes",
            yaml,
            ["routes", index, "destination"],
            `No pool is named '${route.destination}'.${suggestName(route.destination, destinations)}`
                + " Name a destination of the pools table, or add one there.",
        )]
    );
};

/** Parses and checks the two tables together; every error has its place. Never throws. */
export const parseTables = (routesText: string, poolsText: string): TablesResult => {
    const routesFile = readFile("routes", routesText, routesSchema);
    const poolsFile = readFile("pools", poolsText, poolsSchema);
    if (!routesFile.ok || !poolsFile.ok) {
        return { ok: false, errs: [routesFile, poolsFile].flatMap(file => file.ok ? [] : file.errs) };
    }
    const { routes } = routesFile.value;
    const { pools } = poolsFile.value;
    const errs = [
        ...duplicateErrs(
            "routes",
            routesFile.yaml,
            routes,
            route => `${route.brand}/${route.kind}`,
            route => `A route of brand '${route.brand}' and kind '${route.kind}'`,
        ),
        ...referenceErrs(routesFile.yaml, routes, pools),
        ...duplicateErrs(
            "pools",
            poolsFile.yaml,
            pools,
            pool => pool.destination,
            pool => `A pool for destination '${pool.destination}'`,
        ),
    ];
    return errs.length > 0 ? { ok: false, errs } : { ok: true, tables: { routes, pools } };
};

/** Writes both tables as the texts of files that {@link parseTables} reads back. */
export const formatTables = (tables: Tables): Record<TableName, string> => ({
    routes: stringify({ format: tablesFormat, routes: tables.routes }),
    pools: stringify({ format: tablesFormat, pools: tables.pools }),
});
