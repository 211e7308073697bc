/** The command `tables apply`. */
import { compareVersions, formatVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { ApplyRequest, Tables, Version, VersionedTables } from "@cassiapick/core";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { withStateHosts } from "./global-options.js";
import type { GlobalOptions } from "./global-options.js";
import { renderFailures, toCommandResult } from "./reply-result.js";
import type { StateClient } from "./state-client.js";
import { readTables, readTablesInForce } from "./tables-commands.js";
import type { TablesPaths } from "./tables-commands.js";
import { countChanges, diffTables, renderDiff } from "./tables-diff.js";
import type { RowDiff } from "./tables-diff.js";

/** Options of {@link applyTables}. */
export interface ApplyOptions extends TablesPaths {
    /** Idempotency key of the change: sending it again returns the same answer and never applies it twice. */
    changeId: string;
    /** Whether the operator gave `changeId`, to resend an earlier change. */
    isResend: boolean;
    /** The version on which the files are based; the version in force when it is not given. */
    expectedVersion: Version | undefined;
    author: string;
    /** Whether rows may be removed. */
    allowRemoval: boolean;
}

const removalRefused = (diffs: RowDiff[], emptiesTable: boolean): CommandResult =>
    failWith({
        kind: "removal",
        message:
            `${renderDiff(diffs)}\nThe change ${
                emptiesTable ? "empties a table" : `removes ${countChanges(diffs).removed} rows`
            }, `
            + "so nothing was applied. If this is intended, apply again with --allow-removal.",
    });

const sendChange = async (
    client: StateClient,
    options: ApplyOptions,
    expectedVersion: Version,
    tables: Tables,
): Promise<CommandResult> => {
    const request: ApplyRequest = {
        kind: StateRequestKind.Apply,
        changeId: options.changeId,
        expectedVersion,
        tables,
        author: options.author,
    };
    const answer = await client.send(request);
    if (answer.ok) {
        const result = toCommandResult(answer);
        return result.ok && answer.reply.kind === StateReplyKind.Applied
            ? succeed(result.text, { version: answer.reply.version, changeId: options.changeId })
            : result;
    }
    return failWith({
        kind: "change-unknown",
        changeId: options.changeId,
        expectedVersion: formatVersion(expectedVersion),
        message: `No state host confirmed the change, so it may have been accepted or not.\n${renderFailures(answer)}\n`
            + "Send the same change again, which never applies it twice, with "
            + `--change-id ${options.changeId} --expected-version ${formatVersion(expectedVersion)}.`,
    });
};

const removesRows = (current: VersionedTables, next: Tables, diffs: RowDiff[]): boolean =>
    countChanges(diffs).removed > 0
    || (current.tables.routes.length > 0 && next.routes.length === 0)
    || (current.tables.pools.length > 0 && next.pools.length === 0);

/** `tables apply`: applies both files as one change; the result's text also lists the changed rows. */
export const applyTables = (options: GlobalOptions, applyOptions: ApplyOptions): Promise<CommandResult> => {
    const filesRead = readTables(applyOptions);
    if (!filesRead.ok) {
        return Promise.resolve(filesRead.result);
    }
    return withStateHosts(options, async client => {
        const current = await readTablesInForce(client);
        if (!current.ok) {
            return current.result;
        }
        const { version, tables } = current.versioned;
        const diffs = diffTables(tables, filesRead.tables);
        const expectedVersion = applyOptions.expectedVersion ?? version;
        const expectsCurrent = compareVersions(expectedVersion, version) === 0;
        if (diffs.length === 0 && expectsCurrent && !applyOptions.isResend) {
            const text = `These tables are in force already as version ${formatVersion(version)}. Nothing was applied.`;
            return succeed(text, { version, diffs });
        }
        if (expectsCurrent && !applyOptions.allowRemoval && removesRows(current.versioned, filesRead.tables, diffs)) {
            return removalRefused(diffs, filesRead.tables.routes.length === 0 || filesRead.tables.pools.length === 0);
        }
        const result = await sendChange(client, applyOptions, expectedVersion, filesRead.tables);
        return result.ok ? { ...result, text: `${renderDiff(diffs)}\n${result.text}` } : result;
    });
};
