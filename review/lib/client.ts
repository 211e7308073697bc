/** Stand-in of clients: ask a state host for the addresses of entry hosts, and send each request to one of them. */
import { randomBytes, randomInt } from "node:crypto";
import { call } from "./call.js";
import type { Call, CallResult } from "./call.js";
import type { Fleet } from "./fleet.js";
import { hostName } from "./operator.js";

export interface ClientRequest {
    path: string;
    deadlineMs: number;
    method?: string;
    body?: Buffer;
    headers?: Readonly<Record<string, string>>;
    agent?: Call["agent"];
    /** "host:port" of the entry host; by default one of those that the directory names. */
    address?: string;
}

export interface ClientAnswer extends CallResult {
    attemptId: string;
    /** "host:port" that the request was sent to. */
    address: string;
}

export interface Client {
    send(req: ClientRequest): Promise<ClientAnswer>;
}

const resolveTimeoutMs = 1000;
const maxTtlMs = 5000;
/** How much longer than its deadline a client waits before it counts a request as unanswered. */
const patienceMs = 1500;

/** Creates clients of one zone. */
export const createClient = (fleet: Fleet): Client => {
    let addresses: string[] = [];
    let validUntil = -Infinity;

    const refresh = async (): Promise<void> => {
        if (performance.now() < validUntil) {
            return;
        }
        for (const state of fleet.states) {
            const { status, body } = await call({
                address: `${state.address}:${fleet.ports.directory}`,
                path: `/cassiapick/resolve?name=${hostName}&region=montreal&zone=mtl-a`,
                timeoutMs: resolveTimeoutMs,
            });
            if (status === 200) {
                const response = JSON.parse(body.toString()) as { addresses: string[]; ttlS: number; };
                addresses = response.addresses;
                validUntil = performance.now() + Math.min(maxTtlMs, response.ttlS * 1000);
                return;
            }
        }
    };

    return {
        send: async req => {
            await refresh();
            const attemptId = randomBytes(8).toString("hex");
            const address = req.address ?? addresses[randomInt(Math.max(1, addresses.length))];
            if (address === undefined) {
                throw new Error("The directory names no entry host.");
            }
            const result = await call({
                address,
                path: req.path,
                method: req.method,
                body: req.body,
                agent: req.agent,
                headers: {
                    ...req.headers,
                    "Host": hostName,
                    "Attempt-Id": attemptId,
                    "Request-Deadline-Ms": String(req.deadlineMs),
                },
                timeoutMs: req.deadlineMs + patienceMs,
            });
            return { ...result, attemptId, address };
        },
    };
};
