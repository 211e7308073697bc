/** Measures what control traffic costs a host as one dimension of the fleet grows: hosts, servers, services or routes. */
import { createRouteTable, DetectionMode, FleetMessageKind } from "@cassiapick/core";
import type { Tables } from "@cassiapick/core";
import { encodeFrame } from "@cassiapick/wire";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createLoopbackFleet } from "./loopback-fleet.js";
import type { Measurement } from "./measurement.js";

/** Cost of control traffic at one value of the varied dimension. */
interface SlopeRow {
    /** Name of the varied dimension. */
    grown: string;
    value: number;
    /** Control bytes per second that one host sends, by protocol. */
    membershipBytesPerS: number;
    relayBytesPerS: number;
    announceBytesPerS: number;
    messagesPerS: number;
    /** Processor use of one host's control decisions, in percent of a core; excludes sockets and codecs. */
    corePercent: number;
    /** Memory of one host's state, in kilobytes. */
    stateKb: number;
}

/** Cost of a route table of one size. */
interface TableRow {
    routes: number;
    frameBytes: number;
    encodeMs: number;
    arrangeMs: number;
    memoryKb: number;
}

const warmUpMs = 90_000;
const runMs = 12_000;
const msPerSecond = 1000;
const bytesPerKb = 1024;

// Collects garbage before each reading, so that the heap size counts only reachable objects.
setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const heapUsed = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

const measureFleet = (
    dimension: string,
    value: number,
    hosts: number,
    servers: number,
    services: number,
    seed: number,
): SlopeRow => {
    const before = heapUsed();
    const fleet = createLoopbackFleet({ hosts, servers, services, seed });
    fleet.run(warmUpMs);
    const stateKb = (heapUsed() - before) / hosts / bytesPerKb;
    const traffic = fleet.run(runMs);
    const hostSeconds = hosts * runMs / msPerSecond;
    const sum = (counts: Record<FleetMessageKind, number>): number =>
        Object.values(counts).reduce((total, count) => total + count, 0);
    return {
        grown: dimension,
        value,
        membershipBytesPerS: traffic.bytes[FleetMessageKind.Membership] / hostSeconds,
        relayBytesPerS: traffic.bytes[FleetMessageKind.Relay] / hostSeconds,
        announceBytesPerS: traffic.announceBytes / hostSeconds,
        messagesPerS: sum(traffic.messages) / hostSeconds,
        corePercent: traffic.stepMs / (hosts * runMs) * 100,
        stateKb,
    };
};

const createTables = (routes: number): Tables => ({
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
    const tables = createTables(routes);
    const encodeStartedAt = performance.now();
    const frame = encodeFrame({ version: { epoch: 0, index: 1 }, tables });
    const encodeMs = performance.now() - encodeStartedAt;
    const before = heapUsed();
    const buildStartedAt = performance.now();
    const table = createRouteTable(createTables(routes));
    const buildMs = performance.now() - buildStartedAt;
    const memoryKb = (heapUsed() - before) / bytesPerKb;
    return { routes: table.pools().length > 0 ? routes : 0, frameBytes: frame.length, encodeMs, arrangeMs: buildMs, memoryKb };
};

const slopeOf = (rows: SlopeRow[], select: (row: SlopeRow) => number): number => {
    const first = rows[0]!;
    const last = rows.at(-1)!;
    return (select(last) - select(first)) / (last.value - first.value);
};

const roundNumbers = <T extends object>(row: T): T =>
    Object.fromEntries(
        Object.entries(row).map(([key, value]) => [key, typeof value === "number" ? Number(value.toFixed(3)) : value as unknown]),
    ) as T;

const fleetSizes = [10, 20, 40, 80, 160];
const serverCounts = [0, 120, 240, 480];
const serviceCounts = [4, 40, 400];
const routeCounts = [1000, 10_000, 41_000];
const smallFleetHosts = 10;
const smallServiceCount = 4;

/** Measures the cost slopes that docs/CAPACITY.md extrapolates to the fleet sizes expected in two years. */
export const measureSlopes: Measurement = options => {
    const hosts = fleetSizes.map(count => measureFleet("hosts", count, count, 0, smallServiceCount, options.seed));
    const servers = serverCounts.map(count =>
        measureFleet("servers", count, smallFleetHosts, count, smallServiceCount, options.seed)
    );
    const services = serviceCounts.map(count => measureFleet("services", count, smallFleetHosts, 0, count, options.seed));
    const tables = routeCounts.map(measureTables);
    if (options.json) {
        console.log(JSON.stringify({ hosts, servers, services, tables }));
        return Promise.resolve();
    }
    console.table([...hosts, ...servers, ...services].map(roundNumbers));
    console.table(tables.map(roundNumbers));
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
