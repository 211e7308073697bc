/** The commands about the fleet: `tables status`, `tables wait` and `hosts`. */
import { compareVersions, formatVersion, StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { StateStatus, Version } from "@cassiapick/core";
import type { EntryAnswer, EntryClient } from "@cassiapick/operations";
import { renderTable } from "@cassiapick/operations";
import { failWith, succeed } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { withEntryHosts, withStateHosts } from "./context.js";
import type { GlobalOptions } from "./context.js";
import { ExitCode } from "./exit-code.js";

const waitPollMs = 200;

/** One host of the fleet, for people and scripts. */
interface HostRow {
    hostId: string;
    role: string;
    place: string;
    /** The tables in force, or `undefined` when the host could not be asked. */
    version: Version | undefined;
    address: string;
    message: string;
}

const entryRow = (answer: EntryAnswer): HostRow =>
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

const askStateRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    const rows: HostRow[] = [];
    const result = await withStateHosts(options, async client => {
        const answers = await client.askAll({ kind: StateRequestKind.Status });
        for (const { hostId, reply, message } of answers) {
            const status = reply?.kind === StateReplyKind.Status ? reply.status : undefined;
            rows.push(stateRow(hostId, status, message ?? (status === undefined ? "It gave no status." : "")));
        }
        return succeed("", undefined);
    });
    return result.ok ? rows : result;
};

const askEntryRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    const rows: HostRow[] = [];
    const result = await withEntryHosts(options, async client => {
        rows.push(...(await client.askFleet()).map(entryRow));
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

const codeOf = (rows: HostRow[]): ExitCode => {
    const unknown = rows.filter(row => row.version === undefined).length;
    if (unknown === 0) {
        return ExitCode.Ok;
    }
    return unknown === rows.length ? ExitCode.Unreachable : ExitCode.Partial;
};

const collectRows = async (options: GlobalOptions): Promise<HostRow[] | CommandResult> => {
    if (options.stateHosts.length === 0 && options.entryHosts.length === 0) {
        return failWith({ kind: "usage", message: "Name hosts with --state-hosts, --entry-hosts or both." });
    }
    const parts = await Promise.all([
        options.stateHosts.length > 0 ? askStateRows(options) : [],
        options.entryHosts.length > 0 ? askEntryRows(options) : [],
    ]);
    const failed = parts.find(part => !Array.isArray(part));
    return failed ?? parts.flatMap(part => Array.isArray(part) ? part : []);
};

/** `hosts`: every host, its role and the tables in force there. */
export const showHosts = async (options: GlobalOptions): Promise<CommandResult> => {
    const rows = await collectRows(options);
    return Array.isArray(rows) ? succeed(renderRows(rows), { hosts: rows }, codeOf(rows)) : rows;
};

const newestOf = (rows: HostRow[]): Version | undefined =>
    rows.flatMap(row => row.version === undefined ? [] : [row.version]).sort(compareVersions).at(-1);

/** `tables status`: which hosts have which version in force. */
export const showVersions = async (options: GlobalOptions): Promise<CommandResult> => {
    const rows = await collectRows(options);
    if (!Array.isArray(rows)) {
        return rows;
    }
    const newest = newestOf(rows);
    const behind = rows.filter(row =>
        row.version !== undefined && newest !== undefined && compareVersions(row.version, newest) < 0
    );
    const unknown = rows.filter(row => row.version === undefined);
    const sum = `Newest version ${newest === undefined ? "not known" : formatVersion(newest)}: `
        + `${rows.length - behind.length - unknown.length} hosts have it, ${behind.length} are behind, `
        + `${unknown.length} could not be asked.`;
    return succeed(`${renderRows(rows)}\n${sum}`, { newest, hosts: rows }, codeOf(rows));
};

const isInForce = (answer: EntryAnswer, version: Version): boolean =>
    answer.ok && compareVersions(answer.status.version, version) >= 0;

const waitUntil = async (client: EntryClient, version: Version, deadline: number): Promise<EntryAnswer[]> => {
    for (;;) {
        const answers = await client.askFleet();
        if (answers.every(answer => isInForce(answer, version)) || Date.now() >= deadline) {
            return answers;
        }
        await new Promise(resolve => setTimeout(resolve, waitPollMs));
    }
};

/** `tables wait`: ends when every entry host has the version, or a newer one, in force. */
export const waitForVersion = (options: GlobalOptions, version: Version): Promise<CommandResult> =>
    withEntryHosts(options, async client => {
        const answers = await waitUntil(client, version, Date.now() + options.timeoutMs);
        const rows = answers.map(entryRow);
        const missing = answers.filter(answer => !isInForce(answer, version));
        if (missing.length === 0) {
            const text = `Version ${formatVersion(version)} is in force on all ${rows.length} entry hosts.`;
            return succeed(text, { inForce: true, hosts: rows });
        }
        const text = `${renderRows(rows)}\nVersion ${formatVersion(version)} is not yet in force on ${missing.length} of `
            + `${rows.length} entry hosts. Look at their notes, or wait again with a longer --timeout-ms.`;
        return succeed(text, { inForce: false, hosts: rows }, ExitCode.NotYet);
    });
