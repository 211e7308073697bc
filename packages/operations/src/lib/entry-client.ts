/** Asks entry hosts for their status at their admin addresses. */
import type { EntryStatus } from "@cassiapick/core";
import { request } from "undici";
import { isEntryStatus } from "./entry-status-check.js";

const maxStatusBytes = 64 * 1024 * 1024;
/** At most this many hosts are learnt from peers, as a guard against a host that lists without end. */
const maxHosts = 1000;

/** Options of {@link createEntryClient}. */
export interface EntryClientOptions {
    /** Admin addresses that are known from the start. */
    hosts: Array<{ hostId: string; address: string; }>;
    token: string;
    /** How long one host may take, in milliseconds. */
    timeoutMs: number;
}

/** What one entry host answered, or why it did not. */
export type EntryAnswer =
    | { ok: true; hostId: string; address: string; status: EntryStatus; }
    | { ok: false; hostId: string; address: string; message: string; };

/** The JSON of one answer, or why there is none. */
export type JsonAnswer = { ok: true; body: unknown; } | { ok: false; message: string; };

/** The path at which callers ask for addresses. */
const addressesPath = "/.well-known/cassiapick/addresses";

/** Speaks with entry hosts. */
export interface EntryClient {
    /** Asks the known hosts, and then every host that an answer names as a peer. */
    askFleet(): Promise<EntryAnswer[]>;
    /** Asks one host at its caller address, as a caller does, which addresses to use. */
    askAddresses(callerAddress: string, brand: string, kind: string): Promise<JsonAnswer>;
}

const describe = (statusCode: number): string =>
    statusCode === 401 || statusCode === 403
        ? `It refused the token (HTTP ${statusCode}). Give the operators' token file with --token-file.`
        : `It answered HTTP ${statusCode}. Check that this is its admin address.`;

/** Reads a body that may not be longer than the limit. */
const readBody = async (body: AsyncIterable<Buffer>): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxStatusBytes) {
            throw new Error(`The answer is longer than ${maxStatusBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/** Creates a client for the admin addresses of entry hosts. */
export const createEntryClient = (options: EntryClientOptions): EntryClient => {
    const get = async (address: string, path: string, headers: Record<string, string>): Promise<JsonAnswer> => {
        try {
            const res = await request(`http://${address}${path}`, {
                headers,
                signal: AbortSignal.timeout(options.timeoutMs),
            });
            const text = await readBody(res.body);
            return res.statusCode === 200
                ? { ok: true, body: JSON.parse(text) as unknown }
                : { ok: false, message: describe(res.statusCode) };
        }
        catch (err) {
            return { ok: false, message: `It could not be asked (${(err as Error).message}). Check that it runs.` };
        }
    };

    const askOne = async (hostId: string, address: string): Promise<EntryAnswer> => {
        const answer = await get(address, "/status", { authorization: `Bearer ${options.token}` });
        if (!answer.ok) {
            return { ok: false, hostId, address, message: answer.message };
        }
        return isEntryStatus(answer.body)
            ? { ok: true, hostId: answer.body.hostId, address, status: answer.body }
            : { ok: false, hostId, address, message: "Its status has an unknown shape. Use the same version on both." };
    };

    const askFleet = async (): Promise<EntryAnswer[]> => {
        const answers: EntryAnswer[] = [];
        const asked = new Set<string>();
        let next = options.hosts;
        while (next.length > 0) {
            const round = next.filter(({ address }) => !asked.has(address));
            round.forEach(({ address }) => asked.add(address));
            answers.push(...await Promise.all(round.map(({ hostId, address }) => askOne(hostId, address))));
            const peers = answers.flatMap(answer => answer.ok ? answer.status.peers : []);
            const found = new Map(
                peers.filter(peer => peer.adminAddress !== "" && !asked.has(peer.adminAddress))
                    .map(peer => [peer.adminAddress, { hostId: peer.hostId, address: peer.adminAddress }]),
            );
            next = [...found.values()].slice(0, maxHosts - asked.size);
        }
        return answers.sort((a, b) => a.hostId < b.hostId ? -1 : 1);
    };

    const askAddresses: EntryClient["askAddresses"] = (callerAddress, brand, kind) => {
        const query = new URLSearchParams({ brand, kind }).toString();
        // The caller port is no place for the operators' token.
        return get(callerAddress, `${addressesPath}?${query}`, {});
    };

    return { askFleet, askAddresses };
};
