/** The options that all commands share, and the clients created from them. */
import type { EntryClient, PeerAddress } from "@cassiapick/operations";
import { createEntryClient, readTokenFile } from "@cassiapick/operations";
import { failWith } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { createStateClient } from "./state-client.js";
import type { StateClient } from "./state-client.js";

/** The options that all commands accept, after validation. */
export interface GlobalOptions {
    stateHosts: PeerAddress[];
    entryHosts: PeerAddress[];
    tokenFile: string | undefined;
    /** The token file for state hosts; `tokenFile` when it is not given. */
    stateTokenFile: string | undefined;
    /** Timeout of a command, in milliseconds. */
    timeoutMs: number;
}

const missingFlag = (flag: string, example: string): CommandResult =>
    failWith({
        kind: "usage",
        message: `${flag} is missing. Set it, as in ${flag} '${example}', or set its environment variable.`,
    });

const readToken = (path: string | undefined): { ok: true; token: string; } | { ok: false; result: CommandResult; } => {
    if (path === undefined) {
        return { ok: false, result: missingFlag("--token-file", "/etc/cassiapick/operators.token") };
    }
    try {
        return { ok: true, token: readTokenFile(path).current };
    }
    catch (err) {
        const message = `The token file can't be read: ${(err as Error).message}`;
        return { ok: false, result: failWith({ kind: "usage", message }) };
    }
};

/** Runs a command with a client for the state hosts, and closes the client afterwards. */
export const withStateHosts = async (
    options: GlobalOptions,
    command: (client: StateClient) => Promise<CommandResult>,
): Promise<CommandResult> => {
    if (options.stateHosts.length === 0) {
        return missingFlag("--state-hosts", "state-1=10.0.0.1:7001,state-2=10.0.0.2:7001");
    }
    const token = readToken(options.stateTokenFile ?? options.tokenFile);
    if (!token.ok) {
        return token.result;
    }
    const client = createStateClient({ hosts: options.stateHosts, token: token.token, timeoutMs: options.timeoutMs });
    try {
        return await command(client);
    }
    finally {
        client.close();
    }
};

/** Runs a command with a client for the admin addresses of the entry hosts. */
export const withEntryHosts = async (
    options: GlobalOptions,
    command: (client: EntryClient) => Promise<CommandResult>,
): Promise<CommandResult> => {
    if (options.entryHosts.length === 0) {
        return missingFlag("--entry-hosts", "entry-1=10.0.1.1:7100,entry-2=10.0.1.2:7100");
    }
    const token = readToken(options.tokenFile);
    if (!token.ok) {
        return token.result;
    }
    const hosts = options.entryHosts.map(({ hostId, host, port }) => ({ hostId, address: `${host}:${port}` }));
    return command(createEntryClient({ hosts, token: token.token, timeoutMs: options.timeoutMs }));
};
