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

const run = (mode: FleetMode, load: number, seed: number, crashes: boolean): Run => {
    const timeline = createTimeline();
    const requests = drawRequests(createRandom(seed), load);
    const byId = new Map(requests.map(request => [request.requestId, request]));
    const fleet = createFleet({
        mode,
        timeline,
        random: createRandom(seed + 1),
        untilMs: durationMs + timeoutMs,
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
    if (crashes) {
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

const quantile = (sorted: readonly number[], share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;

const measureLoad = (mode: FleetMode, load: number, seed: number): OverloadRow => {
    const { requests, sheds } = run(mode, load, seed, false);
    const measured = requests.filter(request => request.arrivedAt >= warmUpMs);
    const capacity = totalSlots * (durationMs - warmUpMs);
    const offered = measured.reduce((sum, request) => sum + request.serviceMs, 0);
    const served = servedWork(requests, warmUpMs, durationMs);
    const times = measured
        .filter(({ answer }) => answer?.kind === AnswerKind.Served)
        .map(({ answer, arrivedAt, hops }) => answer!.at - arrivedAt + callerLatencyMs + hops * betweenZonesMs)
        .sort((a, b) => a - b);
    const shareOf = (kind: AnswerKind): number => measured.filter(({ answer }) => answer?.kind === kind).length / measured.length;
    return {
        mode,
        load,
        goodput: served / capacity,
        goodputOfPossible: served / Math.min(capacity, offered),
        p50Ms: quantile(times, 0.5),
        p99Ms: quantile(times, 0.99),
        refused: shareOf(AnswerKind.Refused),
        failed: shareOf(AnswerKind.Failed),
        shedsPerRequest: sheds / requests.length,
        hopsPerRequest: requests.reduce((sum, request) => sum + request.hops, 0) / requests.length,
    };
};

const measureCrash = (mode: FleetMode, seed: number): CrashRow => {
    const ofRegion = (requests: TrackedRequest[]): TrackedRequest[] => requests.filter(({ region }) => region === regions[0]);
    const whole = ofRegion(run(mode, crashLoad, seed, false).requests);
    const crashed = ofRegion(run(mode, crashLoad, seed, true).requests);
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

const printTable = (rows: OverloadRow[], crashRows: CrashRow[]): void => {
    console.log("mode               load goodput possible   p50   p99 refused  failed   sheds  hops");
    rows.forEach(printRow);
    console.log(`crash of a host at ${crashLoad} times capacity: unanswered requests, goodput of its region in the 5 s after`);
    for (const { mode, unanswered, goodputAfter } of crashRows) {
        console.log(`${mode.padEnd(18)}${String(unanswered).padStart(5)}${percent(goodputAfter)}`);
    }
    const own = rows.find(row => row.mode === FleetMode.Owners && row.load === targetLoad)!;
    const verdict = own.goodput >= goodputTarget ? "met" : "missed";
    console.log(`target of ${goodputTarget * 100} % goodput at ${targetLoad} times capacity: ${verdict}`);
};

/** Runs the measurement of overload. */
export const measureOverload: Measurement = options => {
    const modes = Object.values(FleetMode);
    const rows = modes.flatMap(mode => loads.map(load => measureLoad(mode, load, options.seed)));
    const crashRows = modes.map(mode => measureCrash(mode, options.seed));
    if (options.json) {
        console.log(JSON.stringify({ rows, crash: crashRows }, undefined, 4));
    }
    else {
        printTable(rows, crashRows);
    }
    return Promise.resolve();
};
