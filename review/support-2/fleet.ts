/** Runs the project's programs as processes on loopback addresses, with the commands and the template of the deploy file. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { call } from "./http.js";
import { record, sleep, waitUntil } from "./record.js";
import { fillTemplate } from "./settings.js";

export type Role = "entry" | "state";

/** One machine with its process. */
export interface Machine {
    readonly name: string;
    readonly role: Role;
    readonly address: string;
    readonly zone: string;
    start(isFirstStart: boolean): void;
    signal(signal: NodeJS.Signals): void;
    isRunning(): boolean;
    /** From now on a process that ends by itself is started again after this time, as the platform does. */
    keepRunning(restartAfterMs: number): void;
    /** How often the process has ended by itself since {@link Machine.keepRunning}. */
    ownEnds(): number;
    /** Resolves when the process has ended. */
    ended(): Promise<void>;
}

/** Ports that all machines share. */
export interface Ports {
    front: number;
    readiness: number;
    control: number;
    directory: number;
    link: number;
}

export interface Fleet {
    readonly ports: Ports;
    readonly states: readonly Machine[];
    readonly entries: readonly Machine[];
    /** A further loopback address for a stand-in. */
    nextAddress(): string;
    /** Sends a call of the operator or of an upstream to each state host in turn until one acknowledges it. */
    control(method: string, path: string, body?: unknown): Promise<string | undefined>;
    /** Ends all processes and removes their files. */
    close(): Promise<void>;
}

export interface FleetOptions {
    stateHosts: number;
    entryHosts: number;
    /** Bounds of the pages for the deployment, `name=value`. */
    bounds: readonly string[];
    limits?: Readonly<Record<string, number>>;
}

const zones = { "north-a": "north", "south-a": "south", "west-a": "west" } as const;
const zoneNames = Object.keys(zones);
const root = new URL("../../../../", import.meta.url).pathname;

/** Ports below those that the system gives to outgoing connections, so that none of these takes one before its listener does. */
const portRange = { from: 20_000, to: 30_000 } as const;

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });

/** Returns as many ports that are free and differ. */
const freePorts = async (count: number): Promise<number[]> => {
    const ports = new Set<number>();
    while (ports.size < count) {
        const port = portRange.from + Math.floor(Math.random() * (portRange.to - portRange.from));
        if (await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
};

/** The words of the `run` line of a role. */
const commandOf = (role: Role): string[] => {
    const section = readFileSync(join(root, "deploy/system.toml"), "utf8").split(`[roles.${role}]`)[1] ?? "";
    const run = /^run = "([^"]+)"/mu.exec(section)?.[1];
    if (run === undefined) {
        throw new Error(`The deploy file has no role '${role}'.`);
    }
    return run.split(" ");
};

/** Starts nothing yet; the machines start with {@link Machine.start}. */
export const createFleet = async (options: FleetOptions): Promise<Fleet> => {
    const folder = mkdtempSync(join(tmpdir(), "cassiapick-review-"));
    const template = readFileSync(join(root, "deploy/settings.json.template"), "utf8");
    // A block of its own, so that cases beside each other don't meet.
    const block = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
    let lastAddress = 0;
    const nextAddress = (): string => `${block}.${lastAddress += 1}`;
    const [front, readiness, control, directory, link] = await freePorts(5);
    const ports: Ports = { front: front!, readiness: readiness!, control: control!, directory: directory!, link: link! };
    const seeds: string[] = [];
    let isClosing = false;

    const createMachine = (role: Role, index: number): Machine => {
        const address = nextAddress();
        const name = `${role}-${index + 1}`;
        const zone = zoneNames[index % zoneNames.length]!;
        const isEntry = role === "entry";
        const dataDir = join(folder, `${name}.data`);
        const settingsPath = join(folder, `${name}.json`);
        let child: ChildProcess | undefined;
        let restartMs: number | undefined;
        let ownEnds = 0;
        const isRunning = (): boolean => child !== undefined && child.exitCode === null && child.signalCode === null;
        const machine: Machine = {
            name,
            role,
            address,
            zone,
            isRunning,
            keepRunning: restartAfterMs => {
                restartMs = restartAfterMs;
            },
            ownEnds: () => ownEnds,
            start: isFirstStart => {
                const at = (port: number): string => `${address}:${port}`;
                const fields = {
                    nodeName: name,
                    ip: address,
                    zone,
                    region: zones[zone as keyof typeof zones],
                    zones,
                    listen: isEntry
                        ? { front: at(ports.front), readiness: at(ports.readiness) }
                        : { control: at(ports.control), directory: at(ports.directory) },
                    internalPorts: [ports.link, ports.link],
                    seeds: seeds.map(seed => `${seed}:${ports.control}`),
                    bootstrap: isFirstStart,
                    ...(isEntry ? {} : { dataDir }),
                    limits: options.limits ?? { memoryMb: 350, linkMbps: 1000 },
                    heartbeatS: 1.5,
                    faultTolerance: { machines: 1, zones: 0, regions: 0 },
                    bounds: options.bounds,
                };
                if (!isEntry) {
                    mkdirSync(dataDir, { recursive: true });
                }
                writeFileSync(settingsPath, fillTemplate(template, fields));
                const [program, ...words] = commandOf(role);
                const logFile = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
                child = spawn(program!, words, {
                    cwd: root,
                    env: { PATH: process.env.PATH, CASSIAPICK_NODE_FILE: settingsPath },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                child.stdout?.pipe(logFile, { end: false });
                child.stderr?.pipe(logFile, { end: false });
                child.once("exit", (code, signal) => {
                    record(`${name} ended: ${code ?? signal ?? "unknown"}`);
                    if (restartMs !== undefined && !isClosing) {
                        ownEnds += 1;
                        setTimeout(() => !isClosing && machine.start(false), restartMs);
                    }
                });
                record(`${name} started at ${address}`);
            },
            signal: signal => {
                if (isRunning()) {
                    record(`${name} gets ${signal}`);
                    child?.kill(signal);
                }
            },
            ended: async () => {
                while (isRunning()) {
                    await sleep(20);
                }
            },
        };
        return machine;
    };

    const states = Array.from({ length: options.stateHosts }, (_, index) => createMachine("state", index));
    seeds.push(...states.slice(0, 3).map(({ address }) => address));
    const entries = Array.from({ length: options.entryHosts }, (_, index) => createMachine("entry", index));
    const machines = [...states, ...entries];

    return {
        ports,
        states,
        entries,
        nextAddress,
        control: async (method, path, body) => {
            for (const { address } of states) {
                const reply = await call({ host: address, port: ports.control, method, path, body });
                if (reply?.status === 200) {
                    return reply.body;
                }
            }
            return undefined;
        },
        close: async () => {
            isClosing = true;
            machines.forEach(machine => machine.signal("SIGCONT"));
            machines.forEach(machine => machine.signal("SIGKILL"));
            await Promise.all(machines.map(machine => machine.ended()));
            if (process.env.KEEP === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
            else {
                process.stdout.write(`${folder}\n`);
            }
        },
    };
};

/** Starts all machines, and waits until the entry hosts are ready to serve the configuration. */
export const startFleet = async (fleet: Fleet, config: unknown, announceUpstreams: () => Promise<void>): Promise<void> => {
    [...fleet.states, ...fleet.entries].forEach(machine => machine.start(true));
    await waitUntil(
        "the configuration is acknowledged",
        async () => await fleet.control("POST", "/cassiapick/Config.Put", config) !== undefined,
    );
    await announceUpstreams();
    for (const { address, name } of fleet.entries) {
        await waitUntil(`${name} is ready`, async () => {
            const reply = await call({ host: address, port: fleet.ports.readiness, method: "GET", path: "/cassiapick/readyz" });
            return reply?.status === 200;
        });
    }
    record("all entry hosts are ready");
};
