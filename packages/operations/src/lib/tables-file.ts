/** Parses, validates and formats the two tables as YAML files. */
import type { Pool, Route, Tables } from "@cassiapick/core";
import { stringify } from "yaml";
import type { z } from "zod";
import { suggestName } from "./nearest-name.js";
import { knownFields, maxTablesChars, poolsSchema, routesSchema, tablesFormat } from "./tables-schema.js";
import { readYamlText } from "./yaml-text.js";
import type { YamlText } from "./yaml-text.js";

/** One of the two tables. */
export type TableName = "routes" | "pools";

/** An error in a tables file. */
export interface TablesErr {
    kind: "tables-invalid";
    file: TableName;
    /** Line and column start at 1. */
    line: number;
    column: number;
    /** Path of the value, as in "routes[3].destination". */
    place: string;
    message: string;
}

export type TablesResult = { ok: true; tables: Tables; } | { ok: false; errs: TablesErr[]; };

type FileResult<T> = { ok: true; value: T; yaml: YamlText; } | { ok: false; errs: TablesErr[]; };

const formatPath = (path: readonly PropertyKey[]): string =>
    path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("").replace(/^\./, "");

const errAt = (file: TableName, yaml: YamlText, path: readonly PropertyKey[], message: string): TablesErr => ({
    kind: "tables-invalid",
    file,
    ...yaml.positionOf(path),
    place: formatPath(path),
    message,
});

const suggestionFor = (file: TableName, key: string, fields: string[]): string =>
    key !== file && (key === "routes" || key === "pools")
        ? " The two files may be swapped: name the routes file first, then the pools file."
        : suggestName(key, fields);

const issueErrs = (file: TableName, yaml: YamlText, issue: z.core.$ZodIssue): TablesErr[] => {
    if (issue.code !== "unrecognized_keys") {
        return [errAt(file, yaml, issue.path, `${issue.message}.`)];
    }
    const fields = knownFields(file, issue.path);
    return issue.keys.map(key => ({
        ...errAt(file, yaml, [...issue.path, key], `The field '${key}' is not known.${suggestionFor(file, key, fields)}`),
        ...yaml.positionOfKey(issue.path, key),
    }));
};

const fileErr = (file: TableName, line: number, column: number, message: string): TablesErr => ({
    kind: "tables-invalid",
    file,
    line,
    column,
    place: file,
    message,
});

const parseFile = <T>(file: TableName, text: string, schema: z.ZodType<T>): FileResult<T> => {
    if (text.length > maxTablesChars) {
        const message = `The file has ${text.length} characters and the limit is ${maxTablesChars}. Remove rows.`;
        return { ok: false, errs: [fileErr(file, 1, 1, message)] };
    }
    const read = readYamlText(text);
    if (!read.ok) {
        const message = `The file is not valid YAML: ${read.message}`;
        return { ok: false, errs: [fileErr(file, read.position.line, read.position.column, message)] };
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
    describeRow: (row: R) => string,
): TablesErr[] => {
    const firstLineByKey = new Map<string, number>();
    return rows.flatMap((row, index) => {
        const key = keyOf(row);
        const firstLine = firstLineByKey.get(key);
        if (firstLine === undefined) {
            firstLineByKey.set(key, yaml.positionOf([file, index]).line);
            return [];
        }
        return [
            errAt(
                file,
                yaml,
                [file, index],
                `${describeRow(row)} is already defined in line ${firstLine}. Remove one of the rows.`,
            ),
        ];
    });
};

const referenceErrs = (yaml: YamlText, routes: Route[], pools: Pool[]): TablesErr[] => {
    const destinations = new Set(pools.map(pool => pool.destination));
    return routes.flatMap((route, index) =>
        destinations.has(route.destination) ? [] : [errAt(
            "routes",
            yaml,
            ["routes", index, "destination"],
            `No pool is named '${route.destination}'.${suggestName(route.destination, destinations)}`
                + " Use a destination of the pools table, or add one there.",
        )]
    );
};

/** Parses and validates the two tables together; each error has its line and column. Never throws. */
export const parseTables = (routesText: string, poolsText: string): TablesResult => {
    const routesFile = parseFile("routes", routesText, routesSchema);
    const poolsFile = parseFile("pools", poolsText, poolsSchema);
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

/** Formats both tables as YAML texts that {@link parseTables} accepts. */
export const formatTables = (tables: Tables): Record<TableName, string> => ({
    routes: stringify({ format: tablesFormat, routes: tables.routes }),
    pools: stringify({ format: tablesFormat, pools: tables.pools }),
});
