/** Measures goodput, latency and refusals under overload for each way to divide slots among entry hosts. */
import { createRandom } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import { AnswerKind, createTimeline } from "@cassiapick/proofs";
import type { FakeAnswer, FakeRequest } from "@cassiapick/proofs";
import type { Measurement } from "./measurement.js";
import { betweenZonesMs, createSimulatedFleet, FleetMode, regions, serversPerRegion, slotsPerServer } from "./overload-fleet.js";

const loads = [0.5, 0.9, 1.5, 3];
const goodputTarget = 0.95;
const targetLoad = 3;

const meanServiceMs = 150;
const timeoutMs = 2000;
const callerLatencyMs = 3;
const warmUpMs = 4000;
const durationMs = 40_000;

/** Load of the crash measurement, as a multiple of capacity; the cost of a crash is the work that the region serves less in the time after it. */
const crashLoad = 0.9;
const crashAtMs = 20_000;
const failoverDelayMs = 2000;
const crashObservationMs = 5000;

/** Fraction of a region's callers that can't reach its running owner and use the stand-by. */
const redirectedFraction = 0.3;
const redirectedLoads = [0.9, 3];

const totalSlots = regions.length * serversPerRegion * slotsPerServer;
const brands = ["parish", "choir", "family"];

interface TrackedRequest extends FakeRequest {
    region: string;
    hops: number;
    answer?: FakeAnswer;
}

/** Results of one mode at one load. Fractions are from 0 to 1. */
interface OverloadRow {
    mode: FleetMode;
    /** Offered work as a multiple of capacity. */
    load: number;
    /** Work that was answered in time, as a fraction of capacity. */
    goodput: number;
    /** Work that was answered in time, as a fraction of the offered work or of the capacity, whichever is less. */
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
    /** Requests without an answer because their entry host crashed. */
    unanswered: number;
    /** Goodput of the region in the seconds after the crash, as a fraction of the same run without the crash. */
    goodputAfter: number;
}

interface RedirectionRow {
    load: number;
    /** Goodput of the affected region, as a fraction of the offered work or of the region's capacity, whichever is less. */
    goodputOfPossible: number;
    refused: number;
    failed: number;
    shedsPerRequest: number;
}

interface RunResult {
    requests: TrackedRequest[];
    sheds: number;
}

const drawExponential = (random: Random): number => -Math.log(1 - random.next());

const drawRequests = (random: Random, load: number): TrackedRequest[] => {
    const requests: TrackedRequest[] = [];
    const meanIntervalMs = meanServiceMs / (totalSlots * load);
    for (let at = 0; at < durationMs; at += drawExponential(random) * meanIntervalMs) {
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

interface InjectedFaults {
    crashesOwner?: boolean;
    redirectedFraction?: number;
}

const runFleet = (mode: FleetMode, load: number, seed: number, faults: InjectedFaults): RunResult => {
    const timeline = createTimeline();
    const requests = drawRequests(createRandom(seed), load);
    const byId = new Map(requests.map(request => [request.requestId, request]));
    const fleet = createSimulatedFleet({
        mode,
        timeline,
        random: createRandom(seed + 1),
        endMs: durationMs + timeoutMs,
        redirectedFraction: faults.redirectedFraction ?? 0,
        onAnswer: (request, answer) => {
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
    if (faults.crashesOwner === true) {
        timeline.at(crashAtMs, () => fleet.crash(regions[0]!));
        timeline.at(crashAtMs + failoverDelayMs, () => fleet.failOver(regions[0]!));
    }
    timeline.run(durationMs + 2 * timeoutMs);
    return { requests, sheds: fleet.sheds() };
};

const servedWorkMs = (requests: readonly TrackedRequest[], fromMs: number, toMs: number): number =>
    requests.reduce((sum, { answer, serviceMs }) => {
        if (answer?.kind !== AnswerKind.Served) {
            return sum;
        }
        const { startedAt } = answer;
        return sum + Math.max(0, Math.min(startedAt + serviceMs, toMs) - Math.max(startedAt, fromMs));
    }, 0);

const fractionWithAnswer = (requests: readonly TrackedRequest[], kind: AnswerKind): number =>
    requests.filter(({ answer }) => answer?.kind === kind).length / requests.length;

const offeredWorkMs = (requests: readonly TrackedRequest[]): number =>
    requests.reduce((sum, request) => sum + request.serviceMs, 0);

const quantile = (sorted: readonly number[], fraction: number): number => sorted[Math.floor(sorted.length * fraction)] ?? 0;

const measureLoad = (mode: FleetMode, load: number, seed: number): OverloadRow => {
    const { requests, sheds } = runFleet(mode, load, seed, {});
    const measured = requests.filter(request => request.arrivedAt >= warmUpMs);
    const capacityMs = totalSlots * (durationMs - warmUpMs);
    const offeredMs = offeredWorkMs(measured);
    const servedMs = servedWorkMs(requests, warmUpMs, durationMs);
    const durations = measured
        .filter(({ answer }) => answer?.kind === AnswerKind.Served)
        .map(({ answer, arrivedAt, hops }) => answer!.at - arrivedAt + callerLatencyMs + hops * betweenZonesMs)
        .sort((a, b) => a - b);
    return {
        mode,
        load,
        goodput: servedMs / capacityMs,
        goodputOfPossible: servedMs / Math.min(capacityMs, offeredMs),
        p50Ms: quantile(durations, 0.5),
        p99Ms: quantile(durations, 0.99),
        refused: fractionWithAnswer(measured, AnswerKind.Refused),
        failed: fractionWithAnswer(measured, AnswerKind.Failed),
        shedsPerRequest: sheds / requests.length,
        hopsPerRequest: requests.reduce((sum, request) => sum + request.hops, 0) / requests.length,
    };
};

const ofFirstRegion = (requests: TrackedRequest[]): TrackedRequest[] => requests.filter(({ region }) => region === regions[0]);

const measureRedirection = (load: number, seed: number): RedirectionRow => {
    const { requests, sheds } = runFleet(FleetMode.Owners, load, seed, { redirectedFraction });
    const redirected = ofFirstRegion(requests);
    const measured = redirected.filter(request => request.arrivedAt >= warmUpMs);
    const capacityMs = totalSlots / regions.length * (durationMs - warmUpMs);
    return {
        load,
        goodputOfPossible: servedWorkMs(redirected, warmUpMs, durationMs) / Math.min(capacityMs, offeredWorkMs(measured)),
        refused: fractionWithAnswer(measured, AnswerKind.Refused),
        failed: fractionWithAnswer(measured, AnswerKind.Failed),
        shedsPerRequest: sheds / redirected.length,
    };
};

const measureCrash = (mode: FleetMode, seed: number): CrashRow => {
    const baseline = ofFirstRegion(runFleet(mode, crashLoad, seed, {}).requests);
    const crashed = ofFirstRegion(runFleet(mode, crashLoad, seed, { crashesOwner: true }).requests);
    const endMs = crashAtMs + crashObservationMs;
    return {
        mode,
        unanswered: crashed.filter(request => request.answer === undefined).length,
        goodputAfter: servedWorkMs(crashed, crashAtMs, endMs) / servedWorkMs(baseline, crashAtMs, endMs),
    };
};

const formatPercent = (fraction: number): string => `${(fraction * 100).toFixed(1)} %`.padStart(8);
const formatMs = (value: number): string => value.toFixed(0).padStart(6);

const printRow = (row: OverloadRow): void => {
    const { mode, load, goodput, goodputOfPossible, p50Ms, p99Ms, refused, failed, shedsPerRequest, hopsPerRequest } = row;
    const goodputs = [goodput, goodputOfPossible].map(formatPercent).join("");
    const latencyAndFailures = `${formatMs(p50Ms)}${formatMs(p99Ms)}${formatPercent(refused)}${formatPercent(failed)}`;
    console.log(
        `${mode.padEnd(18)}${load.toFixed(1).padStart(5)}${goodputs}${latencyAndFailures}${
            shedsPerRequest.toFixed(3).padStart(8)
        }${hopsPerRequest.toFixed(2).padStart(6)}`,
    );
};

interface OverloadReport {
    rows: OverloadRow[];
    crash: CrashRow[];
    split: RedirectionRow[];
}

const printFaults = (report: OverloadReport): void => {
    console.log(`crash of a host at ${crashLoad} times capacity: unanswered requests, goodput of its region in the 5 s after`);
    for (const { mode, unanswered, goodputAfter } of report.crash) {
        console.log(`${mode.padEnd(18)}${String(unanswered).padStart(5)}${formatPercent(goodputAfter)}`);
    }
    console.log(
        `owners, ${redirectedFraction * 100} % of a region's callers at its stand-by: load, possible, refused, failed, sheds`,
    );
    for (const { load, goodputOfPossible, refused, failed, shedsPerRequest } of report.split) {
        const fractions = [goodputOfPossible, refused, failed].map(formatPercent).join("");
        console.log(`${load.toFixed(1).padStart(23)}${fractions}${shedsPerRequest.toFixed(3).padStart(8)}`);
    }
};

const printReport = (report: OverloadReport): void => {
    const { rows } = report;
    console.log("mode               load goodput possible   p50   p99 refused  failed   sheds  hops");
    rows.forEach(printRow);
    printFaults(report);
    const ownersRow = rows.find(row => row.mode === FleetMode.Owners && row.load === targetLoad)!;
    const verdict = ownersRow.goodput >= goodputTarget ? "met" : "missed";
    console.log(`target of ${goodputTarget * 100} % goodput at ${targetLoad} times capacity: ${verdict}`);
};

/** Runs and prints the measurement of overload. */
export const measureOverload: Measurement = options => {
    const modes = Object.values(FleetMode);
    const rows = modes.flatMap(mode => loads.map(load => measureLoad(mode, load, options.seed)));
    const crash = modes.map(mode => measureCrash(mode, options.seed));
    const split = redirectedLoads.map(load => measureRedirection(load, options.seed));
    const report = { rows, crash, split };
    if (options.json) {
        console.log(JSON.stringify(report, undefined, 4));
    }
    else {
        printReport(report);
    }
    return Promise.resolve();
};
