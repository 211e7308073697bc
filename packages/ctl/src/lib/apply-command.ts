/** The command `tables apply`. */
import { compareVersions, formatVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, Tables, Version, VersionedTables } from "@cassiapick/core";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { withStateHosts } from "./context.js";
import type { GlobalOptions } from "./context.js";
import { changeResultOf, renderFailures } from "./reply-result.js";
import type { StateClient } from "./state-client.js";
import { readCurrent, readTables } from "./tables-commands.js";
import type { TablesPaths } from "./tables-commands.js";
import { countChanges, diffTables, renderDiff } from "./tables-diff.js";
import type { RowDiff } from "./tables-diff.js";

/** Options of {@link applyTables}. */
export interface ApplyOptions extends TablesPaths {
    /** The name of the change; sending it again yields the same answer. */
    changeId: string;
    /** Whether `changeId` was given by the operator, who then sends a change again. */
    resent: boolean;
    /** The version that the files were edited from; the version in force when it is not given. */
    expectedVersion: Version | undefined;
    author: string;
    /** Whether rows may be removed. */
    allowRemoval: boolean;
}

const removalErr = (diffs: RowDiff[], empty: boolean): CommandResult =>
    failWith({
        kind: "removal",
        message: `${renderDiff(diffs)}\nThe change ${empty ? "empties a table" : `removes ${countChanges(diffs).removed} rows`}, `
            + "so nothing was applied. If that is meant, apply again with --allow-removal.",
    });

const send = async (client: StateClient, options: ApplyOptions, expected: Version, tables: Tables): Promise<CommandResult> => {
    const request: ApplyRequest = {
        kind: StateRequestKind.Apply,
        changeId: options.changeId,
        expectedVersion: expected,
        tables,
        author: options.author,
    };
    const answer = await client.ask(request);
    if (answer.ok) {
        const result = changeResultOf(answer);
        return result.ok && answer.reply.kind === StateReplyKind.Applied
            ? succeed(result.text, { version: answer.reply.version, changeId: options.changeId })
            : result;
    }
    return failWith({
        kind: "change-unknown",
        changeId: options.changeId,
        expectedVersion: formatVersion(expected),
        message: `No state host confirmed the change, so it may have been accepted or not.\n${renderFailures(answer)}\n`
            + "Send the same change again, which never applies it twice, with "
            + `--change-id ${options.changeId} --expected-version ${formatVersion(expected)}.`,
    });
};

const isRemoval = (current: VersionedTables, next: Tables, diffs: RowDiff[]): boolean =>
    countChanges(diffs).removed > 0
    || (current.tables.routes.length > 0 && next.routes.length === 0)
    || (current.tables.pools.length > 0 && next.pools.length === 0);

/** Applies both files as one change, after showing what it does. */
export const applyTables = (options: GlobalOptions, apply: ApplyOptions): Promise<CommandResult> => {
    const read = readTables(apply);
    if (!read.ok) {
        return Promise.resolve(read.result);
    }
    return withStateHosts(options, async client => {
        const current = await readCurrent(client);
        if (!current.ok) {
            return current.result;
        }
        const { version, tables } = current.versioned;
        const diffs = diffTables(tables, read.tables);
        const expected = apply.expectedVersion ?? version;
        const isCurrent = compareVersions(expected, version) === 0;
        if (diffs.length === 0 && isCurrent && !apply.resent) {
            const text = `These tables are in force already as version ${formatVersion(version)}. Nothing was applied.`;
            return succeed(text, { version, diffs });
        }
        if (isCurrent && !apply.allowRemoval && isRemoval(current.versioned, read.tables, diffs)) {
            return removalErr(diffs, read.tables.routes.length === 0 || read.tables.pools.length === 0);
        }
        const result = await send(client, apply, expected, read.tables);
        return result.ok ? { ...result, text: `${renderDiff(diffs)}\n${result.text}` } : result;
    });
};
