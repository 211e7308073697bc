/** Starts state hosts as processes on this machine, for tests and measurements only. */
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

const loopbackAddress = "127.0.0.1";
const token = "token-of-a-test";
const programPath = fileURLToPath(new URL("../main.js", import.meta.url));
const requestTimeoutMs = 5000;
const pollIntervalMs = 50;
/** Long, because test machines can be under heavy load. */
const waitTimeoutMs = 60_000;

/** A group of state hosts, each in its own process. */
export interface StateProcesses {
    hostIds: readonly string[];
    ports: readonly number[];
    token: string;
    /** The path of the data folder of a host. */
    dataDir(hostId: string): string;
    /** Starts a host; resolves once it writes its first output. */
    start(hostId: string, flags?: readonly string[]): Promise<void>;
    signal(hostId: string, signal: NodeJS.Signals): void;
    /** Resolves with the exit code once the process has exited; `null` when a signal ended it or it never ran. */
    waitForExit(hostId: string): Promise<number | null>;
    /** Deletes the data folder of a host that does not run, which simulates the loss of its disk. */
    deleteDataDir(hostId: string): Promise<void>;
    /** Sends a request to one host once; `undefined` without a reply. */
    sendRequest(hostId: string, request: StateRequest): Promise<StateReply | undefined>;
    status(hostId: string): Promise<StateStatus | undefined>;
    /** Waits until one of `hostIds` is the leader and resolves with its id. */
    waitForLeader(hostIds?: readonly string[]): Promise<string>;
    /** Sends a change to the hosts in turn until one replies that it is applied or conflicts with another change. */
    applyChange(changeId: string, expectedVersion: Version): Promise<StateReply>;
    /** Kills every process and deletes the data folders. */
    close(): Promise<void>;
}

/** Polls until `poll` resolves with a value; throws after `waitTimeoutMs`. */
export const waitFor = async <T>(description: string, poll: () => Promise<T | undefined>): Promise<T> => {
    const deadline = performance.now() + waitTimeoutMs;
    while (performance.now() < deadline) {
        const value = await poll();
        if (value !== undefined) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    throw new Error(`Timed out after ${waitTimeoutMs} ms while waiting for ${description}.`);
};

/** Finds free ports. All are open at the same time, so that the operating system chooses a different one for each. */
const reservePorts = async (count: number): Promise<number[]> => {
    const servers = Array.from({ length: count }, () => createServer());
    const ports: number[] = [];
    for (const server of servers) {
        await new Promise<void>(resolve => server.listen(0, loopbackAddress, resolve));
        ports.push((server.address() as AddressInfo).port);
    }
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    return ports;
};

const createApplyRequest = (changeId: string, expectedVersion: Version): ApplyRequest => ({
    kind: StateRequestKind.Apply,
    changeId,
    expectedVersion,
    tables: { routes: [{ brand: changeId, kind: "book", destination: "bookings", timeoutMs: 1000 }], pools: [] },
    author: "operator",
});

/** Prepares `count` state hosts without starting them. */
export const createStateProcesses = async (count: number): Promise<StateProcesses> => {
    const folder = await mkdtemp(join(tmpdir(), "cassiapick-state-"));
    const tokenFile = join(folder, "token");
    await writeFile(tokenFile, `${token}\n`);
    const ports = await reservePorts(count);
    const hostIds = ports.map((_, index) => `state-${index}`);
    const peersSetting = ports.map((port, index) => `state-${index}=${loopbackAddress}:${port}`).join(",");
    const processes = new Map<string, ChildProcess>();
    const clients = new Map<string, RpcClient>(hostIds.map((hostId, index) => [
        hostId,
        createRpcClient({ host: loopbackAddress, port: ports[index]!, hostId: "operator", token }),
    ]));
    const dataDir = (hostId: string): string => join(folder, hostId);

    const start = (hostId: string, flags: readonly string[] = []): Promise<void> => {
        const listenPort = String(ports[hostIds.indexOf(hostId)]);
        const args = [
            programPath,
            "--host-id",
            hostId,
            "--listen-host",
            loopbackAddress,
            "--listen-port",
            listenPort,
            "--peers",
            peersSetting,
        ];
        const child = spawn(process.execPath, [...args, "--data-dir", dataDir(hostId), "--token-file", tokenFile, ...flags], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        processes.set(hostId, child);
        return new Promise((resolve, reject) => {
            child.stdout.once("data", () => resolve());
            child.once("exit", code => reject(new Error(`The state host '${hostId}' exited with code ${code ?? "none"}.`)));
        });
    };

    const waitForExit = (hostId: string): Promise<number | null> => {
        const child = processes.get(hostId);
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return Promise.resolve(child?.exitCode ?? null);
        }
        return new Promise(resolve => child.once("exit", resolve));
    };

    const sendRequest = async (hostId: string, request: StateRequest): Promise<StateReply | undefined> => {
        const result = await clients.get(hostId)!.call("state", request, requestTimeoutMs);
        return result.ok ? result.body as StateReply : undefined;
    };

    const status = async (hostId: string): Promise<StateStatus | undefined> => {
        const reply = await sendRequest(hostId, { kind: StateRequestKind.Status });
        return reply?.kind === StateReplyKind.Status ? reply.status : undefined;
    };

    const waitForLeader = (candidateIds: readonly string[] = hostIds): Promise<string> =>
        waitFor("a leader", async () => {
            for (const hostId of candidateIds) {
                if ((await status(hostId))?.role === StateRole.Leader) {
                    return hostId;
                }
            }
            return undefined;
        });

    const applyChange = (changeId: string, expectedVersion: Version): Promise<StateReply> => {
        const request = createApplyRequest(changeId, expectedVersion);
        let attempts = 0;
        return waitFor(`the reply to '${changeId}'`, async () => {
            const reply = await sendRequest(hostIds[attempts % hostIds.length]!, request);
            attempts += 1;
            const isDecided = reply?.kind === StateReplyKind.Applied || reply?.kind === StateReplyKind.Conflict;
            return isDecided ? reply : undefined;
        });
    };

    const close = async (): Promise<void> => {
        for (const client of clients.values()) {
            client.close();
        }
        for (const [hostId, child] of processes) {
            child.kill("SIGKILL");
            await waitForExit(hostId);
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
            processes.get(hostId)?.kill(signal);
        },
        waitForExit,
        deleteDataDir: hostId => rm(dataDir(hostId), { recursive: true, force: true }),
        sendRequest,
        status,
        waitForLeader,
        applyChange,
        close,
    };
};
