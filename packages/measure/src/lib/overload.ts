/** Measures goodput, times and refusals in overload, for several ways to divide the slots among hosts. */
import { createRandom } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import { AnswerKind, createTimeline } from "@cassiapick/proofs";
import type { FakeAnswer, FakeRequest } from "@cassiapick/proofs";
import type { Measurement } from "./measurement.js";
import { betweenZonesMs, createFleet, FleetMode, regions, serversPerRegion, slotsPerServer } from "./overload-fleet.js";

const loads = [0.5, 0.9, 1.5, 3];
const goodputTarget = 0.95;
const targetLoad = 3;

const meanServiceMs = 150;
const timeoutMs = 2000;
const callerLatencyMs = 3;
const warmUpMs = 4000;
const durationMs = 40_000;

/** The crash is measured at this load, and costs what the region serves less in the time after it. */
const crashLoad = 0.9;
const crashAtMs = 20_000;
const crashLearnedMs = 2000;
const crashWindowMs = 5000;

/** The share of a region's callers that can't reach its living owner, and use the stand-by. */
const splitShare = 0.3;
const splitLoads = [0.9, 3];

const totalSlots = regions.length * serversPerRegion * slotsPerServer;
const brands = ["parish", "choir", "family"];

interface TrackedRequest extends FakeRequest {
    region: string;
    hops: number;
    answer?: FakeAnswer;
}

/** One row of the measurement. Shares are from 0 to 1. */
interface OverloadRow {
    mode: FleetMode;
    load: number;
    /** Work that was answered in time, as a share of capacity. */
    goodput: number;
    /** The same as a share of what could be served: the offered work, or the capacity if that is less. */
    goodputOfPossible: number;
    p50Ms: number;
    p99Ms: number;
    refused: number;
    failed: number;
    shedsPerRequest: number;
    hopsPerRequest: number;
}

interface CrashRow {
    mode: FleetMode;
    /** Requests that got no answer since their host stopped. */
    unanswered: number;
    /** Goodput of the region in the seconds after the crash as a share of the same run without it. */
    goodputAfter: number;
}

interface SplitRow {
    load: number;
    /** Goodput of the region that is split, as a share of what could be served there. */
    goodputOfPossible: number;
    refused: number;
    failed: number;
    shedsPerRequest: number;
}

interface Run {
    requests: TrackedRequest[];
    sheds: number;
}

const drawExponential = (random: Random): number => -Math.log(1 - random.next());

const drawRequests = (random: Random, load: number): TrackedRequest[] => {
    const requests: TrackedRequest[] = [];
    const gapMs = meanServiceMs / (totalSlots * load);
    for (let at = 0; at < durationMs; at += drawExponential(random) * gapMs) {
        requests.push({
            requestId: `request-${requests.length}`,
            brand: brands[random.below(brands.length)]!,
            region: regions[random.below(regions.length)]!,
            idempotent: random.next() < 0.7,
            serviceMs: meanServiceMs * (0.5 + 0.5 * drawExponential(random)),
            arrivedAt: at,
            deadlineAt: at + timeoutMs,
            hops: 0,
        });
    }
    return requests;
};

interface Faults {
    crashes?: boolean;
    splitShare?: number;
}

const run = (mode: FleetMode, load: number, seed: number, faults: Faults): Run => {
    const timeline = createTimeline();
    const requests = drawRequests(createRandom(seed), load);
    const byId = new Map(requests.map(request => [request.requestId, request]));
    const fleet = createFleet({
        mode,
        timeline,
        random: createRandom(seed + 1),
        untilMs: durationMs + timeoutMs,
        splitShare: faults.splitShare ?? 0,
        answer: (request, answer) => {
            byId.get(request.requestId)!.answer = answer;
        },
    });
    for (const request of requests) {
        timeline.at(request.arrivedAt + callerLatencyMs, () => {
            const { host, hops } = fleet.route(request.region);
            request.hops = hops;
            timeline.after(hops * betweenZonesMs, () => host.entry.submit(request));
        });
    }
    if (faults.crashes === true) {
        timeline.at(crashAtMs, () => fleet.crash(regions[0]!));
        timeline.at(crashAtMs + crashLearnedMs, () => fleet.learnCrash(regions[0]!));
    }
    timeline.run(durationMs + 2 * timeoutMs);
    return { requests, sheds: fleet.sheds() };
};

const servedWork = (requests: readonly TrackedRequest[], fromMs: number, toMs: number): number =>
    requests.reduce((sum, { answer, serviceMs }) => {
        if (answer?.kind !== AnswerKind.Served) {
            return sum;
        }
        const { startedAt } = answer;
        return sum + Math.max(0, Math.min(startedAt + serviceMs, toMs) - Math.max(startedAt, fromMs));
    }, 0);

const shareOf = (requests: readonly TrackedRequest[], kind: AnswerKind): number =>
    requests.filter(({ answer }) => answer?.kind === kind).length / requests.length;

const workOf = (requests: readonly TrackedRequest[]): number => requests.reduce((sum, request) => sum + request.serviceMs, 0);

const quantile = (sorted: readonly number[], share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;

const measureLoad = (mode: FleetMode, load: number, seed: number): OverloadRow => {
    const { requests, sheds } = run(mode, load, seed, {});
    const measured = requests.filter(request => request.arrivedAt >= warmUpMs);
    const capacity = totalSlots * (durationMs - warmUpMs);
    const offered = workOf(measured);
    const served = servedWork(requests, warmUpMs, durationMs);
    const times = measured
        .filter(({ answer }) => answer?.kind === AnswerKind.Served)
        .map(({ answer, arrivedAt, hops }) => answer!.at - arrivedAt + callerLatencyMs + hops * betweenZonesMs)
        .sort((a, b) => a - b);
    return {
        mode,
        load,
        goodput: served / capacity,
        goodputOfPossible: served / Math.min(capacity, offered),
        p50Ms: quantile(times, 0.5),
        p99Ms: quantile(times, 0.99),
        refused: shareOf(measured, AnswerKind.Refused),
        failed: shareOf(measured, AnswerKind.Failed),
        shedsPerRequest: sheds / requests.length,
        hopsPerRequest: requests.reduce((sum, request) => sum + request.hops, 0) / requests.length,
    };
};

const ofRegion = (requests: TrackedRequest[]): TrackedRequest[] => requests.filter(({ region }) => region === regions[0]);

const measureSplit = (load: number, seed: number): SplitRow => {
    const { requests, sheds } = run(FleetMode.Owners, load, seed, { splitShare });
    const split = ofRegion(requests);
    const measured = split.filter(request => request.arrivedAt >= warmUpMs);
    const capacity = totalSlots / regions.length * (durationMs - warmUpMs);
    return {
        load,
        goodputOfPossible: servedWork(split, warmUpMs, durationMs) / Math.min(capacity, workOf(measured)),
        refused: shareOf(measured, AnswerKind.Refused),
        failed: shareOf(measured, AnswerKind.Failed),
        shedsPerRequest: sheds / split.length,
    };
};

const measureCrash = (mode: FleetMode, seed: number): CrashRow => {
    const whole = ofRegion(run(mode, crashLoad, seed, {}).requests);
    const crashed = ofRegion(run(mode, crashLoad, seed, { crashes: true }).requests);
    const until = crashAtMs + crashWindowMs;
    return {
        mode,
        unanswered: crashed.filter(request => request.answer === undefined).length,
        goodputAfter: servedWork(crashed, crashAtMs, until) / servedWork(whole, crashAtMs, until),
    };
};

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`.padStart(8);
const ms = (value: number): string => value.toFixed(0).padStart(6);

const printRow = (row: OverloadRow): void => {
    const { mode, load, goodput, goodputOfPossible, p50Ms, p99Ms, refused, failed, shedsPerRequest, hopsPerRequest } = row;
    const shares = [goodput, goodputOfPossible].map(percent).join("");
    const rest = `${ms(p50Ms)}${ms(p99Ms)}${percent(refused)}${percent(failed)}`;
    console.log(
        `${mode.padEnd(18)}${load.toFixed(1).padStart(5)}${shares}${rest}${shedsPerRequest.toFixed(3).padStart(8)}${
            hopsPerRequest.toFixed(2).padStart(6)
        }`,
    );
};

interface Report {
    rows: OverloadRow[];
    crash: CrashRow[];
    split: SplitRow[];
}

const printFaults = (report: Report): void => {
    console.log(`crash of a host at ${crashLoad} times capacity: unanswered requests, goodput of its region in the 5 s after`);
    for (const { mode, unanswered, goodputAfter } of report.crash) {
        console.log(`${mode.padEnd(18)}${String(unanswered).padStart(5)}${percent(goodputAfter)}`);
    }
    console.log(`owners, ${splitShare * 100} % of a region's callers at its stand-by: load, possible, refused, failed, sheds`);
    for (const { load, goodputOfPossible, refused, failed, shedsPerRequest } of report.split) {
        const shares = [goodputOfPossible, refused, failed].map(percent).join("");
        console.log(`${load.toFixed(1).padStart(23)}${shares}${shedsPerRequest.toFixed(3).padStart(8)}`);
    }
};

const printReport = (report: Report): void => {
    const { rows } = report;
    console.log("mode               load goodput possible   p50   p99 refused  failed   sheds  hops");
    rows.forEach(printRow);
    printFaults(report);
    const own = rows.find(row => row.mode === FleetMode.Owners && row.load === targetLoad)!;
    const verdict = own.goodput >= goodputTarget ? "met" : "missed";
    console.log(`target of ${goodputTarget * 100} % goodput at ${targetLoad} times capacity: ${verdict}`);
};

/** Runs the measurement of overload. */
export const measureOverload: Measurement = options => {
    const modes = Object.values(FleetMode);
    const rows = modes.flatMap(mode => loads.map(load => measureLoad(mode, load, options.seed)));
    const crash = modes.map(mode => measureCrash(mode, options.seed));
    const split = splitLoads.map(load => measureSplit(load, options.seed));
    const report = { rows, crash, split };
    if (options.json) {
        console.log(JSON.stringify(report, undefined, 4));
    }
    else {
        printReport(report);
    }
    return Promise.resolve();
};
