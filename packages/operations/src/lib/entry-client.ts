/** Fetches the status of entry hosts from their admin addresses. */
import type { EntryStatus } from "@cassiapick/core";
import { collectBytes } from "@cassiapick/wire";
import type { Readable } from "node:stream";
import { request } from "undici";
import { isEntryStatus } from "./entry-status-schema.js";

const maxAnswerBytes = 64 * 1024 * 1024;
/** Limits the hosts discovered through peers, so that a faulty host that reports endless peers can't keep the client busy. */
const maxHosts = 1000;

/** Options of {@link createEntryClient}. */
export interface EntryClientOptions {
    /** Admin addresses to query first. */
    hosts: Array<{ hostId: string; address: string; }>;
    token: string;
    /** Timeout of one request, in milliseconds. */
    timeoutMs: number;
}

/** The status of one entry host, or the reason why it could not be fetched. */
export type EntryStatusResult =
    | { ok: true; hostId: string; address: string; status: EntryStatus; }
    | { ok: false; hostId: string; address: string; message: string; };

/** The parsed JSON body of an answer, or the reason why there is none. */
export type JsonResult = { ok: true; body: unknown; } | { ok: false; message: string; };

/** The path at which callers request the addresses of entry hosts. */
const addressesPath = "/.well-known/cassiapick/addresses";

/** Sends requests to entry hosts. */
export interface EntryClient {
    /** Fetches the status of the configured hosts and of all peers they report, transitively; sorted by host id. */
    fetchFleetStatus(): Promise<EntryStatusResult[]>;
    /** Requests the addresses for a brand and kind of request from one host's caller address, without a token, as a caller does. */
    fetchAddresses(callerAddress: string, brand: string, kind: string): Promise<JsonResult>;
}

const describeStatusCode = (statusCode: number): string =>
    statusCode === 401 || statusCode === 403
        ? `It refused the token (HTTP ${statusCode}). Give the operators' token file with --token-file.`
        : `It answered HTTP ${statusCode}. Check that this is its admin address.`;

/** Reads a body as text; throws when it is longer than {@link maxAnswerBytes}. */
const readBody = async (body: Readable): Promise<string> => {
    const bytes = await collectBytes(body, { maxBytes: maxAnswerBytes });
    if (bytes === undefined) {
        body.destroy();
        throw new Error(`The answer is longer than ${maxAnswerBytes} bytes`);
    }
    return bytes.toString("utf8");
};

/** Creates a client for the admin addresses of entry hosts. */
export const createEntryClient = (options: EntryClientOptions): EntryClient => {
    const fetchJson = async (address: string, path: string, headers: Record<string, string>): Promise<JsonResult> => {
        try {
            const res = await request(`http://${address}${path}`, {
                headers,
                signal: AbortSignal.timeout(options.timeoutMs),
            });
            const text = await readBody(res.body);
            return res.statusCode === 200
                ? { ok: true, body: JSON.parse(text) as unknown }
                : { ok: false, message: describeStatusCode(res.statusCode) };
        }
        catch (err) {
            return { ok: false, message: `It could not be asked (${(err as Error).message}). Check that it is running.` };
        }
    };

    const fetchStatus = async (hostId: string, address: string): Promise<EntryStatusResult> => {
        const answer = await fetchJson(address, "/status", { authorization: `Bearer ${options.token}` });
        if (!answer.ok) {
            return { ok: false, hostId, address, message: answer.message };
        }
        return isEntryStatus(answer.body)
            ? { ok: true, hostId: answer.body.hostId, address, status: answer.body }
            : {
                ok: false,
                hostId,
                address,
                message: "Its status does not have the expected fields. Run the same version on both sides.",
            };
    };

    const fetchFleetStatus = async (): Promise<EntryStatusResult[]> => {
        const results: EntryStatusResult[] = [];
        const queriedAddresses = new Set<string>();
        let pendingHosts = options.hosts;
        while (pendingHosts.length > 0) {
            const batch = pendingHosts.filter(({ address }) => !queriedAddresses.has(address));
            batch.forEach(({ address }) => queriedAddresses.add(address));
            results.push(...await Promise.all(batch.map(({ hostId, address }) => fetchStatus(hostId, address))));
            const peers = results.flatMap(answer => answer.ok ? answer.status.peers : []);
            const discoveredHosts = new Map(
                peers.filter(peer => peer.adminAddress !== "" && !queriedAddresses.has(peer.adminAddress))
                    .map(peer => [peer.adminAddress, { hostId: peer.hostId, address: peer.adminAddress }]),
            );
            pendingHosts = [...discoveredHosts.values()].slice(0, maxHosts - queriedAddresses.size);
        }
        return results.sort((a, b) => a.hostId < b.hostId ? -1 : 1);
    };

    const fetchAddresses: EntryClient["fetchAddresses"] = (callerAddress, brand, kind) => {
        const query = new URLSearchParams({ brand, kind }).toString();
        // Never sends the operators' token to the caller port.
        return fetchJson(callerAddress, `${addressesPath}?${query}`, {});
    };

    return { fetchFleetStatus, fetchAddresses };
};
