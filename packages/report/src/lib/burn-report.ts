/** Computes error budgets and burn rates from the counters of entry hosts. All functions are pure. */
import { BurnOutcome } from "@cassiapick/core";
import type { BurnBucket } from "@cassiapick/core";
import type { Objective, Objectives } from "./objectives.js";
import { hostTimeAt } from "./samples.js";
import type { HostSample } from "./samples.js";

/** The windows over which burn rates are computed. */
export enum BurnWindow {
    FiveMinutes = "5m",
    OneHour = "1h",
    SixHours = "6h",
}

const minuteMs = 60_000;

/** Length of each window, in milliseconds. */
export const windowMs: Record<BurnWindow, number> = {
    [BurnWindow.FiveMinutes]: 5 * minuteMs,
    [BurnWindow.OneHour]: 60 * minuteMs,
    [BurnWindow.SixHours]: 360 * minuteMs,
};

const windows = Object.values(BurnWindow);
const budgetWindow = BurnWindow.SixHours;
/** Time that one point of the timeline covers, in milliseconds. */
export const timelinePointMs = 5 * minuteMs;
const timelinePointCount = windowMs[budgetWindow] / timelinePointMs;

/** Alert level of a destination. */
export enum BurnLevel {
    /** No request in the longest window. */
    NoData = "no-data",
    Ok = "ok",
    /** The budget of the longest window is spent. */
    Spent = "spent",
    /** Burn rate of at least {@link slowBurnRate} over the last hour, and over the last five minutes or six hours. */
    Slow = "slow-burn",
    /** Burn rate of at least {@link fastBurnRate} over the last five minutes and the last hour. */
    Fast = "fast-burn",
}

/** Minimum burn rates of the levels, in both windows of each; the usual values of multi-window burn-rate alerts. */
const fastBurnRate = 14.4;
const slowBurnRate = 6;
/** With fewer bad requests in an hour there is no alert, however few requests there were. */
const minBadRequestsToAlert = 3;

/** The requests and the burn rate of one window. */
export interface WindowBurn {
    total: number;
    bad: number;
    /** Burn rate: how many times faster than allowed the budget is spent. 1 spends it exactly; 0 without a request. */
    rate: number;
}

/** A backend server and fault that spent budget. */
export interface Spender {
    /** `undefined` when the request reached no backend server. */
    serverId?: string;
    fault: string;
    count: number;
    /** Fraction of the bad requests of the longest window, from 0 to 1. */
    share: number;
}

/** The burn of one brand within a destination. */
export interface BrandBurn {
    brand: string;
    windows: Record<BurnWindow, WindowBurn>;
}

/** The burn of one destination. */
export interface DestinationBurn {
    destination: string;
    objective: Objective;
    level: BurnLevel;
    windows: Record<BurnWindow, WindowBurn>;
    /** Remaining fraction of the longest window's budget: 1 is all, below 0 is overdrawn. */
    budgetLeft: number;
    /** Largest count first. */
    spenders: Spender[];
    /** Number of bad requests without a recorded fault. */
    unattributed: number;
    /** Highest burn rate of the last hour first. */
    brands: BrandBurn[];
    /** Burn rate of each five minutes of the longest window, oldest first. */
    timeline: WindowBurn[];
}

interface RequestCounts {
    total: number;
    bad: number;
}

/** A bucket with its age on the clock of the host that counted it. */
interface AgedBucket {
    brand: string;
    ageMs: number;
    bucket: BurnBucket;
    bad: number;
    total: number;
}

const zeroCounts = (): RequestCounts => ({ total: 0, bad: 0 });

const toWindowBurn = ({ total, bad }: RequestCounts, objective: Objective): WindowBurn => ({
    total,
    bad,
    rate: total === 0 ? 0 : bad / total / (1 - objective.target),
});

const totalRequests = (bucket: BurnBucket): number => Object.values(bucket.counts).reduce((sum, count) => sum + count, 0);

const badRequests = (bucket: BurnBucket, objective: Objective): number =>
    totalRequests(bucket) - bucket.counts[BurnOutcome.Completed] + (objective.slowIsBad ? bucket.slow : 0);

const collectBuckets = (samples: HostSample[], destination: string, objective: Objective, now: number): AgedBucket[] =>
    samples.flatMap(sample =>
        sample.burn.series.filter(series => series.destination === destination).flatMap(series =>
            series.buckets.map(bucket => ({
                brand: series.brand,
                ageMs: hostTimeAt(sample, now) - bucket.startMs,
                bucket,
                bad: badRequests(bucket, objective),
                total: totalRequests(bucket),
            }))
        )
    );

/** A bucket belongs to a window when it starts within it. */
const sumWindow = (buckets: AgedBucket[], lengthMs: number): RequestCounts => {
    const counts = zeroCounts();
    for (const { ageMs, total, bad } of buckets) {
        if (ageMs < lengthMs) {
            counts.total += total;
            counts.bad += bad;
        }
    }
    return counts;
};

const computeWindows = (buckets: AgedBucket[], objective: Objective): Record<BurnWindow, WindowBurn> => ({
    [BurnWindow.FiveMinutes]: toWindowBurn(sumWindow(buckets, windowMs[BurnWindow.FiveMinutes]), objective),
    [BurnWindow.OneHour]: toWindowBurn(sumWindow(buckets, windowMs[BurnWindow.OneHour]), objective),
    [BurnWindow.SixHours]: toWindowBurn(sumWindow(buckets, windowMs[BurnWindow.SixHours]), objective),
});

const burnLevelOf = (windowBurns: Record<BurnWindow, WindowBurn>): BurnLevel => {
    const [fiveMinuteRate, hourRate, longestRate] = windows.map(window => windowBurns[window].rate) as [number, number, number];
    if (windowBurns[budgetWindow].total === 0) {
        return BurnLevel.NoData;
    }
    const hasEnoughBadRequests = windowBurns[BurnWindow.OneHour].bad >= minBadRequestsToAlert;
    if (hasEnoughBadRequests && fiveMinuteRate >= fastBurnRate && hourRate >= fastBurnRate) {
        return BurnLevel.Fast;
    }
    if (hasEnoughBadRequests && hourRate >= slowBurnRate && Math.max(fiveMinuteRate, longestRate) >= slowBurnRate) {
        return BurnLevel.Slow;
    }
    return longestRate > 1 ? BurnLevel.Spent : BurnLevel.Ok;
};

const computeSpenders = (buckets: AgedBucket[], objective: Objective, bad: number): Spender[] => {
    const spenders = new Map<string, Spender>();
    for (const { ageMs, bucket } of buckets) {
        const faults = ageMs < windowMs[budgetWindow] ? bucket.faults : [];
        for (const { serverId, fault, count } of faults.filter(entry => objective.slowIsBad || entry.fault !== "slow")) {
            const key = JSON.stringify([serverId, fault]);
            const spender = spenders.get(key) ?? { serverId, fault, count: 0, share: 0 };
            spender.count += count;
            spender.share = bad === 0 ? 0 : spender.count / bad;
            spenders.set(key, spender);
        }
    }
    return [...spenders.values()].sort((a, b) => b.count - a.count || (a.serverId ?? "").localeCompare(b.serverId ?? ""));
};

const computeBrands = (buckets: AgedBucket[], objective: Objective): BrandBurn[] => {
    const byBrand = new Map<string, AgedBucket[]>();
    for (const entry of buckets) {
        const entries = byBrand.get(entry.brand) ?? [];
        entries.push(entry);
        byBrand.set(entry.brand, entries);
    }
    const lastHour = (burn: BrandBurn): WindowBurn => burn.windows[BurnWindow.OneHour];
    return [...byBrand]
        .map(([brand, entries]) => ({ brand, windows: computeWindows(entries, objective) }))
        .sort((a, b) => lastHour(b).rate - lastHour(a).rate || (a.brand < b.brand ? -1 : 1));
};

const computeTimeline = (buckets: AgedBucket[], objective: Objective): WindowBurn[] => {
    const points = Array.from({ length: timelinePointCount }, zeroCounts);
    for (const { ageMs, total, bad } of buckets) {
        // The age can be slightly negative: a host's clock may read earlier than the start of its own newest bucket.
        const point = points[timelinePointCount - 1 - Math.max(0, Math.floor(ageMs / timelinePointMs))];
        if (point !== undefined) {
            point.total += total;
            point.bad += bad;
        }
    }
    return points.map(point => toWindowBurn(point, objective));
};

const computeDestination = (samples: HostSample[], objectives: Objectives, now: number, destination: string): DestinationBurn => {
    const objective = objectives.byDestination.get(destination) ?? objectives.defaultObjective;
    const buckets = collectBuckets(samples, destination, objective, now);
    const windowBurns = computeWindows(buckets, objective);
    const { bad, rate } = windowBurns[budgetWindow];
    const spenders = computeSpenders(buckets, objective, bad);
    return {
        destination,
        objective,
        level: burnLevelOf(windowBurns),
        windows: windowBurns,
        budgetLeft: 1 - rate,
        spenders,
        unattributed: Math.max(0, bad - spenders.reduce((sum, spender) => sum + spender.count, 0)),
        brands: computeBrands(buckets, objective),
        timeline: computeTimeline(buckets, objective),
    };
};

/** Computes the burn of every destination that has an objective or counted requests, sorted by name. */
export const computeBurn = (samples: HostSample[], objectives: Objectives, now: number): DestinationBurn[] => {
    const countedDestinations = samples.flatMap(sample => sample.burn.series.map(series => series.destination));
    const destinations = new Set([...objectives.byDestination.keys(), ...countedDestinations]);
    return [...destinations].sort().map(destination => computeDestination(samples, objectives, now, destination));
};
