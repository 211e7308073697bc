/** The commands `tables check`, `tables show`, `tables diff` and `tables history`. */
import { formatVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { Tables, VersionedTables } from "@cassiapick/core";
import { decodeUtf8, formatTables, parseTables } from "@cassiapick/operations";
import { renderTable } from "@cassiapick/operations";
import { readFileSync } from "node:fs";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { withStateHosts } from "./global-options.js";
import type { GlobalOptions } from "./global-options.js";
import { toCommandResult } from "./reply-result.js";
import type { StateClient } from "./state-client.js";
import { diffTables, renderDiff } from "./tables-diff.js";

/** Paths of the two tables files. */
export interface TablesPaths {
    routes: string;
    pools: string;
}

/** The tables in two files, or the result of the command if they can't be read or are invalid. */
export type ReadTablesResult = { ok: true; tables: Tables; } | { ok: false; result: CommandResult; };

const readText = (path: string): string => {
    const text = decodeUtf8(readFileSync(path));
    if (text === undefined) {
        throw new Error(`'${path}' is not valid UTF-8`);
    }
    return text;
};

/** Reads and validates the two files; if the tables are invalid, the result lists the position of each error. */
export const readTables = (paths: TablesPaths): ReadTablesResult => {
    let routesText: string;
    let poolsText: string;
    try {
        routesText = readText(paths.routes);
        poolsText = readText(paths.pools);
    }
    catch (err) {
        const message = `A tables file can't be read: ${
            (err as Error).message
        }. Give the path of the routes file, then that of the pools file.`;
        return { ok: false, result: failWith({ kind: "usage", message }) };
    }
    const parsed = parseTables(routesText, poolsText);
    if (parsed.ok) {
        return parsed;
    }
    const lines = parsed.errs.map(err => `${paths[err.file]}:${err.line}:${err.column}: ${err.place}: ${err.message}`);
    return { ok: false, result: failWith({ kind: "tables-invalid", message: lines.join("\n"), places: parsed.errs }) };
};

/** Reads the tables in force with a linearizable read by the leader; the state hosts are asked one after another. */
export const readTablesInForce = async (
    client: StateClient,
): Promise<{ ok: true; versioned: VersionedTables; } | { ok: false; result: CommandResult; }> => {
    const result = await client.send({ kind: StateRequestKind.Read });
    return result.ok && result.reply.kind === StateReplyKind.Tables
        ? { ok: true, versioned: result.reply.versioned }
        : { ok: false, result: toCommandResult(result) };
};

/** `tables check`: validates two files without contacting a host. */
export const checkTables = (paths: TablesPaths): CommandResult => {
    const read = readTables(paths);
    if (!read.ok) {
        return read.result;
    }
    const { routes, pools } = read.tables;
    const brands = new Set(routes.map(route => route.brand)).size;
    return succeed(`The tables are valid: ${routes.length} routes of ${brands} brands, ${pools.length} pools.`, {
        routes: routes.length,
        brands,
        pools: pools.length,
    });
};

/** `tables show`: shows both tables as two YAML documents, or only `table`; each is in the format of its file. */
export const showTables = (options: GlobalOptions, table: "routes" | "pools" | undefined): Promise<CommandResult> =>
    withStateHosts(options, async client => {
        const current = await readTablesInForce(client);
        if (!current.ok) {
            return current.result;
        }
        const { version, tables } = current.versioned;
        const texts = formatTables(tables);
        const text = table === undefined
            ? `# version ${formatVersion(version)}\n# routes\n${texts.routes}---\n# pools\n${texts.pools}`
            : texts[table];
        return succeed(text.trimEnd(), current.versioned);
    });

/** `tables diff`: shows what applying the two files would change. */
export const diffWithTablesInForce = (options: GlobalOptions, paths: TablesPaths): Promise<CommandResult> => {
    const read = readTables(paths);
    if (!read.ok) {
        return Promise.resolve(read.result);
    }
    return withStateHosts(options, async client => {
        const current = await readTablesInForce(client);
        if (!current.ok) {
            return current.result;
        }
        const { version, tables } = current.versioned;
        const diffs = diffTables(tables, read.tables);
        return succeed(`Against version ${formatVersion(version)}:\n${renderDiff(diffs)}`, { version, diffs });
    });
};

/** `tables history`: shows the latest accepted changes, newest first. */
export const showHistory = (options: GlobalOptions, limit: number): Promise<CommandResult> =>
    withStateHosts(options, async client => {
        const result = await client.send({ kind: StateRequestKind.History, limit });
        if (!result.ok || result.reply.kind !== StateReplyKind.History) {
            return toCommandResult(result);
        }
        const { entries } = result.reply;
        const rows = entries.map(entry => [
            formatVersion(entry.version),
            new Date(entry.acceptedAt).toISOString(),
            entry.author,
            entry.changeId,
        ]);
        return succeed(renderTable(["VERSION", "ACCEPTED", "AUTHOR", "CHANGE"], rows), { entries });
    });
