/** State hosts as processes on this machine, for tests and measurements only. */
import { StateReplyKind, StateRequestKind, StateRole } from "@cassiapick/core";
import type { ApplyRequest, StateReply, StateRequest, StateStatus, Version } from "@cassiapick/core";
import { createRpcClient } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const address = "127.0.0.1";
const token = "token-of-a-test";
const program = fileURLToPath(new URL("../main.js", import.meta.url));
const callTimeoutMs = 5000;
const pauseMs = 50;
/** Generous, because machines of tests are busy. */
const waitLimitMs = 60_000;

/** State hosts that run as processes. */
export interface StateProcesses {
    hostIds: readonly string[];
    ports: readonly number[];
    token: string;
    /** The data folder of a host. */
    dataDir(hostId: string): string;
    start(hostId: string, flags?: readonly string[]): Promise<void>;
    signal(hostId: string, signal: NodeJS.Signals): void;
    /** Resolves with the exit code once the process has ended. */
    ended(hostId: string): Promise<number | null>;
    /** Empties the data folder of a host that does not run. */
    loseDisk(hostId: string): Promise<void>;
    /** Asks one host once; `undefined` when it does not answer. */
    ask(hostId: string, request: StateRequest): Promise<StateReply | undefined>;
    status(hostId: string): Promise<StateStatus | undefined>;
    /** Waits until one of `hostIds` leads, and names it. */
    leader(hostIds?: readonly string[]): Promise<string>;
    /** Sends a change to the hosts in turn until it is decided. */
    apply(changeId: string, expectedVersion: Version): Promise<StateReply>;
    /** Ends every process and removes the folders. */
    close(): Promise<void>;
}

/** Waits until `test` yields a value; throws when it takes far too long. */
export const waitFor = async <T>(what: string, test: () => Promise<T | undefined>): Promise<T> => {
    const deadline = performance.now() + waitLimitMs;
    while (performance.now() < deadline) {
        const value = await test();
        if (value !== undefined) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    throw new Error(`Waited ${waitLimitMs} ms in vain for ${what}.`);
};

/** Reserves a port that the system has chosen. All are held at once, so that no two are the same. */
const reservePorts = async (count: number): Promise<number[]> => {
    const servers = Array.from({ length: count }, () => createServer());
    const ports: number[] = [];
    for (const server of servers) {
        await new Promise<void>(resolve => server.listen(0, address, resolve));
        ports.push((server.address() as AddressInfo).port);
    }
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    return ports;
};

const createRequest = (changeId: string, expectedVersion: Version): ApplyRequest => ({
    kind: StateRequestKind.Apply,
    changeId,
    expectedVersion,
    tables: { routes: [{ brand: changeId, kind: "book", destination: "bookings", timeoutMs: 1000 }], pools: [] },
    author: "operator",
});

/** Prepares `count` state hosts; none runs yet. */
export const createStateProcesses = async (count: number): Promise<StateProcesses> => {
    const folder = await mkdtemp(join(tmpdir(), "cassiapick-state-"));
    const tokenFile = join(folder, "token");
    await writeFile(tokenFile, `${token}\n`);
    const ports = await reservePorts(count);
    const hostIds = ports.map((_, index) => `state-${index}`);
    const peers = ports.map((port, index) => `state-${index}=${address}:${port}`).join(",");
    const children = new Map<string, ChildProcess>();
    const clients = new Map<string, RpcClient>(hostIds.map((hostId, index) => [
        hostId,
        createRpcClient({ host: address, port: ports[index]!, hostId: "operator", token }),
    ]));
    const dataDir = (hostId: string): string => join(folder, hostId);

    const start = (hostId: string, flags: readonly string[] = []): Promise<void> => {
        const listenPort = String(ports[hostIds.indexOf(hostId)]);
        const args = [program, "--host-id", hostId, "--listen-host", address, "--listen-port", listenPort, "--peers", peers];
        const child = spawn(process.execPath, [...args, "--data-dir", dataDir(hostId), "--token-file", tokenFile, ...flags], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        children.set(hostId, child);
        return new Promise((resolve, reject) => {
            child.stdout.once("data", () => resolve());
            child.once("exit", code => reject(new Error(`The state host '${hostId}' ended with code ${code ?? "none"}.`)));
        });
    };

    const ended = (hostId: string): Promise<number | null> => {
        const child = children.get(hostId);
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return Promise.resolve(child?.exitCode ?? null);
        }
        return new Promise(resolve => child.once("exit", resolve));
    };

    const ask = async (hostId: string, request: StateRequest): Promise<StateReply | undefined> => {
        const result = await clients.get(hostId)!.call("state", request, callTimeoutMs);
        return result.ok ? result.body as StateReply : undefined;
    };

    const status = async (hostId: string): Promise<StateStatus | undefined> => {
        const reply = await ask(hostId, { kind: StateRequestKind.Status });
        return reply?.kind === StateReplyKind.Status ? reply.status : undefined;
    };

    const leader = (among: readonly string[] = hostIds): Promise<string> =>
        waitFor("a leader", async () => {
            for (const hostId of among) {
                if ((await status(hostId))?.role === StateRole.Leader) {
                    return hostId;
                }
            }
            return undefined;
        });

    const apply = (changeId: string, expectedVersion: Version): Promise<StateReply> => {
        const request = createRequest(changeId, expectedVersion);
        let turn = 0;
        return waitFor(`the answer to '${changeId}'`, async () => {
            const reply = await ask(hostIds[turn % hostIds.length]!, request);
            turn += 1;
            const isDecided = reply?.kind === StateReplyKind.Applied || reply?.kind === StateReplyKind.Conflict;
            return isDecided ? reply : undefined;
        });
    };

    const close = async (): Promise<void> => {
        for (const client of clients.values()) {
            client.close();
        }
        for (const [hostId, child] of children) {
            child.kill("SIGKILL");
            await ended(hostId);
        }
        await rm(folder, { recursive: true, force: true });
    };

    return {
        hostIds,
        ports,
        token,
        dataDir,
        start,
        signal: (hostId, signal) => {
            children.get(hostId)?.kill(signal);
        },
        ended,
        loseDisk: hostId => rm(dataDir(hostId), { recursive: true, force: true }),
        ask,
        status,
        leader,
        apply,
        close,
    };
};
