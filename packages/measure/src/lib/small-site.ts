/** Starts one state host, one entry host, one backend server and a plain pass-through proxy as separate processes. */
import { StateRequestKind } from "@cassiapick/core";
import type { HostInfo, Tables } from "@cassiapick/core";
import { findFreePort, startProgram } from "@cassiapick/demo";
import type { RunningProgram } from "@cassiapick/demo";
import { createRpcClient } from "@cassiapick/wire";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@link startSmallSite}. */
export interface SmallSiteOptions {
    tables: Tables;
    services: string[];
    /** Concurrent requests that the backend server runs. */
    slots: number;
    /** Time that the backend server takes for a request, in milliseconds. */
    serviceMs: number;
}

/** The running site. */
export interface SmallSite {
    entry: HostInfo;
    /** Origin of the entry host for callers. */
    entryOrigin: string;
    /** Origin of the pass-through proxy. */
    passThroughOrigin: string;
    stop(): Promise<void>;
}

const host = "127.0.4.1";
const pollIntervalMs = 100;
const requestTimeoutMs = 5000;

const applyTables = async (port: number, token: string, tables: Tables): Promise<void> => {
    const client = createRpcClient({ host, port, hostId: "measure", token });
    const request = {
        kind: StateRequestKind.Apply,
        changeId: "first",
        expectedVersion: { epoch: 0, index: 0 },
        tables,
        author: "measure",
    };
    for (;;) {
        const result = await client.call("state", request, requestTimeoutMs);
        if (result.ok && (result.body as { kind: string; }).kind === "applied") {
            client.close();
            return;
        }
        await sleep(pollIntervalMs);
    }
};

/** Starts the site; resolves when all processes listen and the tables are applied. */
export const startSmallSite = async (options: SmallSiteOptions): Promise<SmallSite> => {
    const folder = mkdtempSync(join(tmpdir(), "cassiapick-measure-"));
    const token = "measure";
    const tokenFile = join(folder, "token");
    writeFileSync(tokenFile, `${token}\n`);
    mkdirSync(join(folder, "state"));
    const statePort = await findFreePort(host);
    const stateHostList = `state=${host}:${statePort}`;

    const state = await startProgram({
        script: "state/dist/main.js",
        name: "state",
        args: [
            ...["--host-id", "state", "--listen-host", host, "--listen-port", String(statePort), "--peers", stateHostList],
            ...["--data-dir", join(folder, "state"), "--token-file", tokenFile, "--bootstrap", "true"],
        ],
    });
    await applyTables(statePort, token, options.tables);
    const entryProgram = await startProgram({
        script: "entry/dist/main.js",
        name: "entry",
        args: [
            ...[
                "--host-id",
                "entry",
                "--region",
                "r",
                "--availability-zone",
                "z",
                "--listen-host",
                host,
                "--state-hosts",
                stateHostList,
            ],
            ...["--fleet-token-file", tokenFile, "--announce-token-file", tokenFile, "--operator-token-file", tokenFile],
            ...["--address-validity-ms", "100"],
        ],
    });
    const entry = (JSON.parse(entryProgram.firstLine) as { listening: HostInfo; }).listening;
    const backend = await startProgram({
        script: "standins/dist/backend-main.js",
        name: "backend",
        args: [
            ...[
                "--id",
                "backend",
                "--listen-host",
                host,
                "--region",
                "r",
                "--availability-zone",
                "z",
                "--services",
                options.services.join(","),
            ],
            ...["--slots", String(options.slots), "--service-ms", String(options.serviceMs)],
            ...["--entry-hosts", `${entry.adminHost}:${entry.adminPort}`, "--announce-token-file", tokenFile],
        ],
    });
    const { listening } = JSON.parse(backend.firstLine) as { listening: { host: string; port: number; }; };
    const passThrough = await startProgram({
        script: "baseline/dist/pass-through-main.js",
        name: "pass-through",
        args: [`http://${listening.host}:${listening.port}`, host],
    });
    const passThroughAddress = (JSON.parse(passThrough.firstLine) as { listening: { host: string; port: number; }; }).listening;

    const stop = async (): Promise<void> => {
        const programs: RunningProgram[] = [backend, passThrough, entryProgram, state];
        for (const program of programs) {
            program.signal("SIGTERM");
        }
        await Promise.all(programs.map(program => program.exitCode));
        rmSync(folder, { recursive: true, force: true });
    };

    return {
        entry,
        entryOrigin: `http://${entry.callerHost}:${entry.callerPort}`,
        passThroughOrigin: `http://${passThroughAddress.host}:${passThroughAddress.port}`,
        stop,
    };
};
