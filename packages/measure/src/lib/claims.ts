/** `npm run measure -- claims`: claims a second and the time they add, beside claims that are synced to disk. */
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ClaimsOrderKind, ClaimsReportKind, ClaimsRole } from "./claims-message.js";
import type { ClaimsLoad, ClaimsOrder, ClaimsPeer, ClaimsReport } from "./claims-message.js";
import type { Measurement } from "./measurement.js";

const regions = ["montreal", "quebec", "saguenay"];
const zonesPerRegion = 2;
const diskHosts = 3;
const durationMs = 4000;
const warmUp: ClaimsLoad = { concurrency: 4, durationMs: 1000 };
/** Light load shows the added time, heavy load the claims a second. */
const loads: ClaimsLoad[] = [{ concurrency: 2, durationMs }, { concurrency: 64, durationMs }];

interface Row {
    way: string;
    links: string;
    openClaims: number;
    claimsPerSecond: number;
    p50Ms: number;
    p99Ms: number;
    refused: number;
}

interface Member {
    child: ChildProcess;
    role: ClaimsRole;
    peer: ClaimsPeer;
}

const ask = (child: ChildProcess, order: ClaimsOrder): Promise<ClaimsReport> =>
    new Promise((resolve, reject) => {
        child.once("message", message => resolve(message as ClaimsReport));
        child.once("error", reject);
        child.send(order);
    });

const placeOf = (index: number): ClaimsPeer => {
    const region = regions[index % regions.length]!;
    const zone = Math.floor(index / regions.length) % zonesPerRegion;
    return { hostId: `host-${index}`, region, availabilityZone: `${region}-${zone}`, host: `127.0.0.${index + 2}`, port: 0 };
};

const startMembers = async (roles: ClaimsRole[], folder: string, linkDelays: boolean): Promise<Member[]> => {
    const members: Member[] = [];
    for (const [index, role] of roles.entries()) {
        const child = fork(fileURLToPath(new URL("./claims-host.js", import.meta.url)));
        const self = placeOf(index);
        const report = await ask(child, { kind: ClaimsOrderKind.Start, role, self, folder, linkDelays });
        const port = report.kind === ClaimsReportKind.Listening ? report.port : 0;
        members.push({ child, role, peer: { ...self, port } });
    }
    return members;
};

const percentile = (sorted: number[], share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const runLoad = async (
    entries: Member[],
    load: ClaimsLoad,
): Promise<Pick<Row, "claimsPerSecond" | "p50Ms" | "p99Ms" | "refused">> => {
    const reports = await Promise.all(entries.map(({ child }) => ask(child, { kind: ClaimsOrderKind.Load, load })));
    const loaded = reports.flatMap(report => report.kind === ClaimsReportKind.Loaded ? [report] : []);
    const timesMs = loaded.flatMap(report => report.timesMs).sort((a, b) => a - b);
    return {
        claimsPerSecond: Math.round(timesMs.length / (load.durationMs / 1000)),
        p50Ms: Number(percentile(timesMs, 0.5).toFixed(2)),
        p99Ms: Number(percentile(timesMs, 0.99).toFixed(2)),
        refused: loaded.reduce((sum, report) => sum + report.refused, 0),
    };
};

const measureWay = async (way: string, roles: ClaimsRole[], linkDelays: boolean): Promise<Row[]> => {
    const folder = await mkdtemp(join(tmpdir(), "cassiapick-claims-"));
    const members = await startMembers(roles, folder, linkDelays);
    const entries = members.filter(({ role }) => role !== ClaimsRole.Disk);
    // An entry host that records on disks talks to the disk hosts only.
    const targets = members.filter(({ role }) => role !== ClaimsRole.DiskEntry).map(({ peer }) => peer);
    await Promise.all(entries.map(({ child }) => ask(child, { kind: ClaimsOrderKind.Connect, peers: targets })));
    await runLoad(entries, warmUp);
    const rows: Row[] = [];
    for (const load of loads) {
        const openClaims = load.concurrency * entries.length;
        const links = linkDelays ? "1 ms / 20 ms" : "loopback";
        rows.push({ way, links, openClaims, ...await runLoad(entries, load) });
    }
    for (const { child } of members) {
        child.kill();
    }
    await rm(folder, { recursive: true });
    return rows;
};

const entryCount = regions.length * zonesPerRegion;
const ways: { way: string; roles: ClaimsRole[]; }[] = [
    { way: "votes in memory", roles: Array.from({ length: entryCount }, () => ClaimsRole.Entry) },
    {
        way: "synced to disk",
        roles: [
            ...Array.from({ length: diskHosts }, () => ClaimsRole.Disk),
            ...Array.from({ length: entryCount }, () => ClaimsRole.DiskEntry),
        ],
    },
];

/** Measures both ways, on bare loopback and with the one-way times between availability zones and regions. */
export const measureClaims: Measurement = async ({ json }) => {
    const rows: Row[] = [];
    for (const linkDelays of [false, true]) {
        for (const { way, roles } of ways) {
            rows.push(...await measureWay(way, roles, linkDelays));
        }
    }
    if (json) {
        console.log(JSON.stringify(rows));
        return;
    }
    console.table(rows);
};
