/** What control costs a host, by growing one number of the fleet at a time. */
import { createRouteTable, DetectionMode, FleetMessageKind } from "@cassiapick/core";
import type { Tables } from "@cassiapick/core";
import { encodeFrame } from "@cassiapick/wire";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createLoopbackFleet } from "./loopback-fleet.js";
import type { Measurement } from "./measurement.js";

/** One row: the number that was grown, and what it cost. */
interface SlopeRow {
    grown: string;
    value: number;
    /** Control bytes that one host sends a second, by protocol. */
    membershipBytesPerS: number;
    relayBytesPerS: number;
    messagesPerS: number;
    /** Share of a core that one host's decisions take for control, in percent; sockets and codecs come on top. */
    corePercent: number;
    /** Memory of one host's state, in kilobytes. */
    stateKb: number;
}

interface TableRow {
    routes: number;
    frameBytes: number;
    encodeMs: number;
    arrangeMs: number;
    memoryKb: number;
}

const warmUpMs = 30_000;
const runMs = 12_000;
const msPerSecond = 1000;
const bytesPerKb = 1024;

// The collector is called between runs, so that memory is what is held and not what was left over.
setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

const heapUsed = (): number => {
    collect();
    return process.memoryUsage().heapUsed;
};

const measureFleet = (grown: string, value: number, hosts: number, servers: number, services: number, seed: number): SlopeRow => {
    const before = heapUsed();
    const fleet = createLoopbackFleet({ hosts, servers, services, seed });
    fleet.run(warmUpMs);
    const stateKb = (heapUsed() - before) / hosts / bytesPerKb;
    const traffic = fleet.run(runMs);
    const perHostSecond = hosts * runMs / msPerSecond;
    const sum = (counts: Record<FleetMessageKind, number>): number =>
        Object.values(counts).reduce((total, count) => total + count, 0);
    return {
        grown,
        value,
        membershipBytesPerS: traffic.bytes[FleetMessageKind.Membership] / perHostSecond,
        relayBytesPerS: traffic.bytes[FleetMessageKind.Relay] / perHostSecond,
        messagesPerS: sum(traffic.messages) / perHostSecond,
        corePercent: traffic.stepMs / (hosts * runMs) * 100,
        stateKb,
    };
};

const tablesOf = (routes: number): Tables => ({
    routes: Array.from({ length: routes }, (_, index) => ({
        brand: `brand-${Math.floor(index / 4)}`,
        kind: `kind-${index % 4}`,
        destination: `service-${index % 2900}`,
        timeoutMs: 5000,
    })),
    pools: Array.from({ length: 2900 }, (_, index) => ({
        destination: `service-${index}`,
        service: `service-${index}`,
        floorShare: 0.5,
        detection: DetectionMode.Prompt,
    })),
});

const measureTables = (routes: number): TableRow => {
    const tables = tablesOf(routes);
    const encodeAt = performance.now();
    const frame = encodeFrame({ version: { epoch: 0, index: 1 }, tables });
    const encodeMs = performance.now() - encodeAt;
    const before = heapUsed();
    const arrangeAt = performance.now();
    const table = createRouteTable(tablesOf(routes));
    const arrangeMs = performance.now() - arrangeAt;
    const memoryKb = (heapUsed() - before) / bytesPerKb;
    return { routes: table.pools().length > 0 ? routes : 0, frameBytes: frame.length, encodeMs, arrangeMs, memoryKb };
};

const slopeOf = (rows: SlopeRow[], read: (row: SlopeRow) => number): number => {
    const first = rows[0]!;
    const last = rows.at(-1)!;
    return (read(last) - read(first)) / (last.value - first.value);
};

const rounded = <T extends object>(row: T): T =>
    Object.fromEntries(
        Object.entries(row).map(([key, value]) => [key, typeof value === "number" ? Number(value.toFixed(3)) : value as unknown]),
    ) as T;

const fleetSizes = [10, 20, 40, 80, 160];
const serverCounts = [0, 120, 240, 480];
const serviceCounts = [4, 40, 400];
const routeCounts = [1000, 10_000, 41_000];
const smallFleet = 10;
const fewServices = 4;

/** Measures the slopes that docs/CAPACITY.md carries to the size of two years from now. */
export const measureSlopes: Measurement = options => {
    const hosts = fleetSizes.map(count => measureFleet("hosts", count, count, 0, fewServices, options.seed));
    const servers = serverCounts.map(count => measureFleet("servers", count, smallFleet, count, fewServices, options.seed));
    const services = serviceCounts.map(count => measureFleet("services", count, smallFleet, 0, count, options.seed));
    const tables = routeCounts.map(measureTables);
    if (options.json) {
        console.log(JSON.stringify({ hosts, servers, services, tables }));
        return Promise.resolve();
    }
    console.table([...hosts, ...servers, ...services].map(rounded));
    console.table(tables.map(rounded));
    for (const rows of [hosts, servers, services]) {
        const name = rows[0]!.grown;
        console.log(
            `per one of ${name}: ${slopeOf(rows, row => row.membershipBytesPerS).toFixed(3)} membership bytes/s, `
                + `${slopeOf(rows, row => row.relayBytesPerS).toFixed(3)} relay bytes/s, ${
                    slopeOf(rows, row => row.corePercent).toFixed(5)
                } % of a core, `
                + `${slopeOf(rows, row => row.stateKb).toFixed(3)} kB`,
        );
    }
    return Promise.resolve();
};
