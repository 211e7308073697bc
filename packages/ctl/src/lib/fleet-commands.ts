/** The commands that show the hosts: `tables status`, `tables wait` and `hosts`. */
import { compareVersions, formatVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { StateStatus, Version } from "@cassiapick/core";
import type { EntryClient, EntryStatusResult } from "@cassiapick/operations";
import { renderTable } from "@cassiapick/operations";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { ExitCode } from "./exit-code.js";
import { withEntryHosts, withStateHosts } from "./global-options.js";
import type { GlobalOptions } from "./global-options.js";

const pollIntervalMs = 200;

/** One host, as a row of the table and an object of the JSON output. */
interface HostRow {
    hostId: string;
    role: string;
    /** The availability zone; empty when it is not known. */
    place: string;
    /** The version in force, or `undefined` when the host could not be asked. */
    version: Version | undefined;
    address: string;
    /** Why the host could not be asked, or empty. */
    message: string;
}

const entryRow = (answer: EntryStatusResult): HostRow =>
    answer.ok
        ? {
            hostId: answer.hostId,
            role: answer.status.draining ? "entry, draining" : "entry",
            place: answer.status.availabilityZone,
            version: answer.status.version,
            address: answer.status.callerAddress,
            message: "",
        }
        : {
            hostId: answer.hostId,
            role: "entry",
            place: "",
            version: undefined,
            address: answer.address,
            message: answer.message,
        };

const stateRow = (hostId: string, status: StateStatus | undefined, message: string): HostRow => ({
    hostId,
    role: status === undefined ? "state" : `state, ${status.role}`,
    place: "",
    version: status?.committed,
    address: "",
    message,
});

const fetchStateRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    const rows: HostRow[] = [];
    const result = await withStateHosts(options, async client => {
        const answers = await client.sendToAll({ kind: StateRequestKind.Status });
        for (const { hostId, reply, message } of answers) {
            const status = reply?.kind === StateReplyKind.Status ? reply.status : undefined;
            rows.push(stateRow(hostId, status, message ?? (status === undefined ? "It sent no status." : "")));
        }
        return succeed("", undefined);
    });
    return result.ok ? rows : result;
};

const fetchEntryRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    const rows: HostRow[] = [];
    const result = await withEntryHosts(options, async client => {
        rows.push(...(await client.fetchFleetStatus()).map(entryRow));
        return succeed("", undefined);
    });
    return result.ok ? rows : result;
};

const renderRows = (rows: HostRow[]): string =>
    renderTable(
        ["HOST", "ROLE", "ZONE", "VERSION", "ADDRESS", "NOTE"],
        rows.map(row => [
            row.hostId,
            row.role,
            row.place,
            row.version === undefined ? "not known" : formatVersion(row.version),
            row.address,
            row.message,
        ]),
    );

const exitCodeOf = (rows: HostRow[]): ExitCode => {
    const unknown = rows.filter(row => row.version === undefined).length;
    if (unknown === 0) {
        return ExitCode.Ok;
    }
    return unknown === rows.length ? ExitCode.Unreachable : ExitCode.Partial;
};

const fetchRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    if (options.stateHosts.length === 0 && options.entryHosts.length === 0) {
        return failWith({ kind: "usage", message: "Name hosts with --state-hosts, --entry-hosts or both." });
    }
    const parts = await Promise.all([
        options.stateHosts.length > 0 ? fetchStateRows(options) : [],
        options.entryHosts.length > 0 ? fetchEntryRows(options) : [],
    ]);
    const failed = parts.find(part => !Array.isArray(part));
    return failed ?? parts.flatMap(part => Array.isArray(part) ? part : []);
};

/** `hosts`: shows every host with its role and the version in force there. */
export const showHosts = async (options: GlobalOptions): Promise<CommandResult> => {
    const rows = await fetchRows(options);
    return Array.isArray(rows) ? succeed(renderRows(rows), { hosts: rows }, exitCodeOf(rows)) : rows;
};

const newestVersion = (rows: HostRow[]): Version | undefined =>
    rows.flatMap(row => row.version === undefined ? [] : [row.version]).sort(compareVersions).at(-1);

/** `tables status`: shows which version each host has in force. */
export const showVersions = async (options: GlobalOptions): Promise<CommandResult> => {
    const rows = await fetchRows(options);
    if (!Array.isArray(rows)) {
        return rows;
    }
    const newest = newestVersion(rows);
    const behind = rows.filter(row =>
        row.version !== undefined && newest !== undefined && compareVersions(row.version, newest) < 0
    );
    const unknown = rows.filter(row => row.version === undefined);
    const summary = `Newest version ${newest === undefined ? "not known" : formatVersion(newest)}: `
        + `${rows.length - behind.length - unknown.length} hosts have it, ${behind.length} are behind, `
        + `${unknown.length} could not be asked.`;
    return succeed(`${renderRows(rows)}\n${summary}`, { newest, hosts: rows }, exitCodeOf(rows));
};

const isInForce = (answer: EntryStatusResult, version: Version): boolean =>
    answer.ok && compareVersions(answer.status.version, version) >= 0;

const pollUntilInForce = async (client: EntryClient, version: Version, deadline: number): Promise<EntryStatusResult[]> => {
    for (;;) {
        const answers = await client.fetchFleetStatus();
        if (answers.every(answer => isInForce(answer, version)) || Date.now() >= deadline) {
            return answers;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
};

/** `tables wait`: waits until every entry host has the version, or a newer one, in force, or the timeout expires. */
export const waitForVersion = (options: GlobalOptions, version: Version): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await pollUntilInForce(client, version, Date.now() + options.timeoutMs);
        const rows = answers.map(entryRow);
        const pending = answers.filter(answer => !isInForce(answer, version));
        if (pending.length === 0) {
            const text = `Version ${formatVersion(version)} is in force on all ${rows.length} entry hosts.`;
            return succeed(text, { inForce: true, hosts: rows });
        }
        const text = `${renderRows(rows)}\nVersion ${formatVersion(version)} is not yet in force on ${pending.length} of `
            + `${rows.length} entry hosts. See the NOTE column, or wait again with a longer --timeout-ms.`;
        return succeed(text, { inForce: false, hosts: rows }, ExitCode.NotYet);
    });
