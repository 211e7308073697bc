/** Starts the demo's fleet as separate processes. */
import type { HostInfo, Tables } from "@cassiapick/core";
import { parseTables } from "@cassiapick/operations";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { runProgram, startProgram } from "./child-process.js";
import type { RunningProgram } from "./child-process.js";
import { Deployment, plannedBackendServers, plannedEntryHosts, plannedStateHosts } from "./fleet-plan.js";
import type { PlannedHost, PlannedServer } from "./fleet-plan.js";
import { findFreePort } from "./free-ports.js";

/** An entry host of the demo. */
export interface DemoEntryHost {
    program: RunningProgram;
    self: HostInfo;
}

/** A backend server of the demo. */
export interface DemoServer {
    program: RunningProgram;
    plan: PlannedServer;
    address: string;
}

/** The running fleet of the demo. */
export interface DemoFleet {
    folder: string;
    routesFile: string;
    poolsFile: string;
    tables: Tables;
    stateHosts: RunningProgram[];
    entryHosts: DemoEntryHost[];
    servers: DemoServer[];
    /** Arguments that every `cassiapick` command needs to reach the demo's fleet. */
    operatorArgs: string[];
    /** Runs `cassiapick` with `args` followed by the operator's arguments. */
    runOperatorCommand(args: string[]): Promise<{ code: number; output: string; }>;
    /** Writes the tables to `routesFile` and `poolsFile`. */
    writeTables(tables: Tables): void;
    /** Stops every process gracefully; resolves with the exit codes by name. */
    stop(): Promise<Map<string, number>>;
}

/** How long callers of the demo may cache an address answer. */
const addressValidityMs = 1500;
const examplesFolder = fileURLToPath(new URL("../../../../examples/", import.meta.url));

const readExample = (deployment: Deployment): Tables => {
    const read = (name: string): string => readFileSync(join(examplesFolder, deployment, name), "utf8");
    const result = parseTables(read("routes.yaml"), read("pools.yaml"));
    if (!result.ok) {
        throw new Error(result.errs.map(err => `${err.place}: ${err.message}`).join("\n"));
    }
    return result.tables;
};

/** Merges the example tables of both deployments for one fleet. */
const readExamples = (): Tables => {
    const examples = [readExample(Deployment.Ticketing), readExample(Deployment.Cartons)];
    return { routes: examples.flatMap(tables => tables.routes), pools: examples.flatMap(tables => tables.pools) };
};

const writeTokenFiles = (folder: string): void => {
    for (const name of ["fleet", "announce", "operator"]) {
        // Generates new tokens for each run; they are stored only in the demo's folder.
        writeFileSync(join(folder, `${name}.token`), `${name}-${crypto.randomUUID()}\n`, { mode: 0o600 });
    }
    // State hosts accept requests from the fleet's hosts and from operators.
    const stateTokens = ["fleet", "operator"].map(name => readFileSync(join(folder, `${name}.token`), "utf8"));
    writeFileSync(join(folder, "state.token"), stateTokens.join(""), { mode: 0o600 });
};

/** Starts the fleet; resolves when all processes serve and the tables are applied. */
export const startDemoFleet = async (): Promise<DemoFleet> => {
    const folder = mkdtempSync(join(tmpdir(), "cassiapick-demo-"));
    const routesFile = join(folder, "routes.yaml");
    const poolsFile = join(folder, "pools.yaml");
    const tokenFile = (name: string): string => join(folder, `${name}.token`);
    writeTokenFiles(folder);

    const tables = readExamples();
    const writeTables = (next: Tables): void => {
        writeFileSync(routesFile, JSON.stringify({ format: 1, routes: next.routes }, undefined, 2));
        writeFileSync(poolsFile, JSON.stringify({ format: 1, pools: next.pools }, undefined, 2));
    };
    writeTables(tables);

    const allocatePorts = async (hosts: PlannedHost[]): Promise<{ plan: PlannedHost; port: number; }[]> =>
        Promise.all(hosts.map(async plan => ({ plan, port: await findFreePort(plan.host) })));

    const statePeers = await allocatePorts(plannedStateHosts);
    const entryPeers = await allocatePorts(plannedEntryHosts);
    const formatPeerList = (peers: { plan: PlannedHost; port: number; }[]): string =>
        peers.map(({ plan, port }) => `${plan.hostId}=${plan.host}:${port}`).join(",");

    const stateHosts = await Promise.all(statePeers.map(({ plan, port }) => {
        const dataDir = join(folder, plan.hostId);
        mkdirSync(dataDir);
        return startProgram({
            script: "state/dist/main.js",
            name: plan.hostId,
            args: [
                ...[
                    "--host-id",
                    plan.hostId,
                    "--listen-host",
                    plan.host,
                    "--listen-port",
                    String(port),
                    "--peers",
                    formatPeerList(statePeers),
                ],
                ...["--data-dir", dataDir, "--token-file", tokenFile("state"), "--bootstrap", "true"],
            ],
        });
    }));

    const entryHosts = await Promise.all(entryPeers.map(async ({ plan, port }) => {
        const program = await startProgram({
            script: "entry/dist/main.js",
            name: plan.hostId,
            args: [
                ...["--host-id", plan.hostId, "--region", plan.region, "--availability-zone", plan.availabilityZone],
                ...["--listen-host", plan.host, "--fleet-port", String(port), "--seeds", formatPeerList(entryPeers)],
                ...["--state-hosts", formatPeerList(statePeers), "--address-validity-ms", String(addressValidityMs)],
                ...["--fleet-token-file", tokenFile("fleet"), "--announce-token-file", tokenFile("announce")],
                ...["--operator-token-file", tokenFile("operator")],
            ],
        });
        return { program, self: (JSON.parse(program.firstLine) as { listening: HostInfo; }).listening };
    }));

    const namedAdminAddresses = entryHosts.map(({ self }) => `${self.hostId}=${self.adminHost}:${self.adminPort}`).join(",");
    const operatorArgs = [
        ...["--state-hosts", formatPeerList(statePeers)],
        ...["--entry-hosts", namedAdminAddresses, "--token-file", tokenFile("operator")],
    ];
    const runOperatorCommand = (args: string[]): Promise<{ code: number; output: string; }> =>
        runProgram({ script: "ctl/dist/main.js", name: "cassiapick", args: [...args, ...operatorArgs] });

    const applied = await runOperatorCommand(["tables", "apply", routesFile, poolsFile]);
    if (applied.code !== 0) {
        throw new Error(`The tables were not applied:\n${applied.output}`);
    }

    const adminAddresses = entryHosts.map(({ self }) => `${self.adminHost}:${self.adminPort}`).join(",");
    const servers = await Promise.all(plannedBackendServers.map(async plan => {
        const program = await startProgram({
            script: "standins/dist/backend-main.js",
            name: plan.hostId,
            args: [
                ...[
                    "--id",
                    plan.hostId,
                    "--listen-host",
                    plan.host,
                    "--region",
                    plan.region,
                    "--availability-zone",
                    plan.availabilityZone,
                ],
                ...["--services", plan.service, "--entry-hosts", adminAddresses, "--announce-token-file", tokenFile("announce")],
            ],
        });
        const { listening } = JSON.parse(program.firstLine) as { listening: { host: string; port: number; }; };
        return { program, plan, address: `${listening.host}:${listening.port}` };
    }));

    const stop = async (): Promise<Map<string, number>> => {
        const exitCodes = new Map<string, number>();
        // Stops backend servers first, so that entry hosts still receive their announcement of leaving, and state hosts last.
        for (const group of [servers.map(server => server.program), entryHosts.map(entry => entry.program), stateHosts]) {
            for (const program of group) {
                program.signal("SIGTERM");
            }
            await Promise.all(group.map(async program => exitCodes.set(program.name, await program.exitCode)));
        }
        rmSync(folder, { recursive: true, force: true });
        return exitCodes;
    };

    return {
        folder,
        routesFile,
        poolsFile,
        tables,
        stateHosts,
        entryHosts,
        servers,
        operatorArgs,
        runOperatorCommand,
        writeTables,
        stop,
    };
};
