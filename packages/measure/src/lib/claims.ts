/** `npm run measure -- claims`: rate and latency of claims by votes in memory, compared with claims that are synced to disk. */
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ClaimsCommandKind, ClaimsReportKind, ClaimsRole } from "./claims-message.js";
import type { ClaimsCommand, ClaimsLoad, ClaimsPeer, ClaimsReport } from "./claims-message.js";
import type { Measurement } from "./measurement.js";

const regions = ["montreal", "quebec", "saguenay"];
const zonesPerRegion = 2;
const diskHostCount = 3;
const durationMs = 4000;
/** Load that runs before the measured loads and is not recorded. */
const warmUpLoad: ClaimsLoad = { concurrency: 4, durationMs: 1000 };
/** The light load shows the latency that a claim adds to a request, the heavy load the claim rate. */
const loads: ClaimsLoad[] = [{ concurrency: 2, durationMs }, { concurrency: 64, durationMs }];

/** The result of one method under one load. */
interface ClaimsRow {
    /** The method by which claims are granted; a name from `claimMethods`. */
    way: string;
    /** The delays of the links: none beyond loopback, or one-way delays between availability zones and between regions. */
    links: string;
    /** Number of claims open at any time, summed over all entry hosts. */
    openClaims: number;
    /** Granted claims per second, summed over all entry hosts. */
    claimsPerSecond: number;
    /** Median time from request to grant of the granted claims, in milliseconds. */
    p50Ms: number;
    /** 99th percentile of the same times, in milliseconds. */
    p99Ms: number;
    /** Number of claims that were not granted. */
    refused: number;
}

/** A child process that runs one host. */
interface ClaimsProcess {
    child: ChildProcess;
    role: ClaimsRole;
    /** Its identity and the address on which it listens. */
    peer: ClaimsPeer;
}

const sendCommand = (child: ChildProcess, command: ClaimsCommand): Promise<ClaimsReport> =>
    new Promise((resolve, reject) => {
        child.once("message", message => resolve(message as ClaimsReport));
        child.once("error", reject);
        child.send(command);
    });

const peerAt = (index: number): ClaimsPeer => {
    const region = regions[index % regions.length]!;
    const zone = Math.floor(index / regions.length) % zonesPerRegion;
    return { hostId: `host-${index}`, region, availabilityZone: `${region}-${zone}`, host: `127.0.0.${index + 2}`, port: 0 };
};

const startProcesses = async (roles: ClaimsRole[], folder: string, linkDelays: boolean): Promise<ClaimsProcess[]> => {
    const processes: ClaimsProcess[] = [];
    for (const [index, role] of roles.entries()) {
        const child = fork(fileURLToPath(new URL("./claims-host.js", import.meta.url)));
        const self = peerAt(index);
        const report = await sendCommand(child, { kind: ClaimsCommandKind.Start, role, self, folder, linkDelays });
        const port = report.kind === ClaimsReportKind.Listening ? report.port : 0;
        processes.push({ child, role, peer: { ...self, port } });
    }
    return processes;
};

const quantile = (sorted: number[], fraction: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

const runLoad = async (
    entryHosts: ClaimsProcess[],
    load: ClaimsLoad,
): Promise<Pick<ClaimsRow, "claimsPerSecond" | "p50Ms" | "p99Ms" | "refused">> => {
    const reports = await Promise.all(entryHosts.map(({ child }) => sendCommand(child, { kind: ClaimsCommandKind.Load, load })));
    const loadReports = reports.flatMap(report => report.kind === ClaimsReportKind.Loaded ? [report] : []);
    const timesMs = loadReports.flatMap(report => report.timesMs).sort((a, b) => a - b);
    return {
        claimsPerSecond: Math.round(timesMs.length / (load.durationMs / 1000)),
        p50Ms: Number(quantile(timesMs, 0.5).toFixed(2)),
        p99Ms: Number(quantile(timesMs, 0.99).toFixed(2)),
        refused: loadReports.reduce((sum, report) => sum + report.refused, 0),
    };
};

const measureMethod = async (method: string, roles: ClaimsRole[], linkDelays: boolean): Promise<ClaimsRow[]> => {
    const folder = await mkdtemp(join(tmpdir(), "cassiapick-claims-"));
    const processes = await startProcesses(roles, folder, linkDelays);
    const entryHosts = processes.filter(({ role }) => role !== ClaimsRole.Disk);
    // An entry host that records claims on disk connects to the disk hosts only.
    const targets = processes.filter(({ role }) => role !== ClaimsRole.DiskEntry).map(({ peer }) => peer);
    await Promise.all(entryHosts.map(({ child }) => sendCommand(child, { kind: ClaimsCommandKind.Connect, peers: targets })));
    await runLoad(entryHosts, warmUpLoad);
    const rows: ClaimsRow[] = [];
    for (const load of loads) {
        const openClaims = load.concurrency * entryHosts.length;
        // One-way delay between availability zones of a region, then between regions; see `linkDelayMs`.
        const links = linkDelays ? "1 ms / 20 ms" : "loopback";
        rows.push({ way: method, links, openClaims, ...await runLoad(entryHosts, load) });
    }
    for (const { child } of processes) {
        child.kill();
    }
    await rm(folder, { recursive: true });
    return rows;
};

const entryHostCount = regions.length * zonesPerRegion;
const claimMethods: { name: string; roles: ClaimsRole[]; }[] = [
    { name: "votes in memory", roles: Array.from({ length: entryHostCount }, () => ClaimsRole.Entry) },
    {
        name: "synced to disk",
        roles: [
            ...Array.from({ length: diskHostCount }, () => ClaimsRole.Disk),
            ...Array.from({ length: entryHostCount }, () => ClaimsRole.DiskEntry),
        ],
    },
];

/** Measures both methods, on plain loopback and with simulated one-way delays between availability zones and regions. */
export const measureClaims: Measurement = async ({ json }) => {
    const rows: ClaimsRow[] = [];
    for (const linkDelays of [false, true]) {
        for (const { name, roles } of claimMethods) {
            rows.push(...await measureMethod(name, roles, linkDelays));
        }
    }
    if (json) {
        console.log(JSON.stringify(rows));
        return;
    }
    console.table(rows);
};
