/** Computes error budgets and burn rates from what hosts counted. Pure: the time is passed in. */
import { BurnOutcome } from "@cassiapick/core";
import type { BurnBucket } from "@cassiapick/core";
import type { Objective, Objectives } from "./objectives.js";
import { hostClock } from "./samples.js";
import type { HostSample } from "./samples.js";

/** The windows over which burn is computed. */
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
/** Width of a point of the timeline, in milliseconds. */
export const pointMs = 5 * minuteMs;
const pointCount = windowMs[budgetWindow] / pointMs;

/** How urgent the burn of a destination is. */
export enum BurnLevel {
    /** No request in the longest window. */
    NoData = "no-data",
    Ok = "ok",
    /** The budget of the longest window is spent. */
    Spent = "spent",
    /** The budget goes several times too fast, for an hour and still, or for hours. */
    Slow = "slow-burn",
    /** The budget goes many times too fast right now. */
    Fast = "fast-burn",
}

/** Burn rates from which a level holds in both of its windows; the usual pairs of multi-window alerts. */
const fastRate = 14.4;
const slowRate = 6;
/** Fewer bad requests in an hour are no alarm, however few requests there were. */
const minAlarmBad = 3;

/** The requests of one window. */
export interface WindowBurn {
    total: number;
    bad: number;
    /** How many times faster than allowed the budget goes; 1 spends it exactly. 0 without a request. */
    rate: number;
}

/** Who or what spent budget. */
export interface Spender {
    /** `undefined` when no backend server was reached. */
    serverId?: string;
    fault: string;
    count: number;
    /** Part of the bad requests of the longest window, from 0 to 1. */
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
    /** Part of the longest window's budget that is left: 1 is all, below 0 is overdrawn. */
    budgetLeft: number;
    /** Biggest first. */
    spenders: Spender[];
    /** Bad requests to which no fault was counted. */
    unattributed: number;
    /** Biggest burn in the last hour first. */
    brands: BrandBurn[];
    /** Burn rate of each five minutes of the longest window, oldest first. */
    timeline: WindowBurn[];
}

interface Tally {
    total: number;
    bad: number;
}

interface Counted {
    brand: string;
    ageMs: number;
    bucket: BurnBucket;
    bad: number;
    total: number;
}

const noTally = (): Tally => ({ total: 0, bad: 0 });

const rateOf = ({ total, bad }: Tally, objective: Objective): WindowBurn => ({
    total,
    bad,
    rate: total === 0 ? 0 : bad / total / (1 - objective.target),
});

const totalOf = (bucket: BurnBucket): number => Object.values(bucket.counts).reduce((sum, count) => sum + count, 0);

const badOf = (bucket: BurnBucket, objective: Objective): number =>
    totalOf(bucket) - bucket.counts[BurnOutcome.Completed] + (objective.slowIsBad ? bucket.slow : 0);

const collect = (samples: HostSample[], destination: string, objective: Objective, now: number): Counted[] =>
    samples.flatMap(sample =>
        sample.burn.series.filter(series => series.destination === destination).flatMap(series =>
            series.buckets.map(bucket => ({
                brand: series.brand,
                ageMs: hostClock(sample, now) - bucket.startMs,
                bucket,
                bad: badOf(bucket, objective),
                total: totalOf(bucket),
            }))
        )
    );

/** A bucket belongs to a window when it starts within it. */
const sumWindow = (counted: Counted[], lengthMs: number): Tally => {
    const tally = noTally();
    for (const { ageMs, total, bad } of counted) {
        if (ageMs < lengthMs) {
            tally.total += total;
            tally.bad += bad;
        }
    }
    return tally;
};

const burnWindows = (counted: Counted[], objective: Objective): Record<BurnWindow, WindowBurn> => ({
    [BurnWindow.FiveMinutes]: rateOf(sumWindow(counted, windowMs[BurnWindow.FiveMinutes]), objective),
    [BurnWindow.OneHour]: rateOf(sumWindow(counted, windowMs[BurnWindow.OneHour]), objective),
    [BurnWindow.SixHours]: rateOf(sumWindow(counted, windowMs[BurnWindow.SixHours]), objective),
});

const levelOf = (burns: Record<BurnWindow, WindowBurn>): BurnLevel => {
    const [now, hour, longest] = windows.map(window => burns[window].rate) as [number, number, number];
    if (burns[budgetWindow].total === 0) {
        return BurnLevel.NoData;
    }
    const alarms = burns[BurnWindow.OneHour].bad >= minAlarmBad;
    if (alarms && now >= fastRate && hour >= fastRate) {
        return BurnLevel.Fast;
    }
    if (alarms && hour >= slowRate && Math.max(now, longest) >= slowRate) {
        return BurnLevel.Slow;
    }
    return longest > 1 ? BurnLevel.Spent : BurnLevel.Ok;
};

const findSpenders = (counted: Counted[], objective: Objective, bad: number): Spender[] => {
    const spenders = new Map<string, Spender>();
    for (const { ageMs, bucket } of counted) {
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

const burnBrands = (counted: Counted[], objective: Objective): BrandBurn[] => {
    const byBrand = new Map<string, Counted[]>();
    for (const entry of counted) {
        const entries = byBrand.get(entry.brand) ?? [];
        entries.push(entry);
        byBrand.set(entry.brand, entries);
    }
    const hourOf = (burn: BrandBurn): WindowBurn => burn.windows[BurnWindow.OneHour];
    return [...byBrand]
        .map(([brand, entries]) => ({ brand, windows: burnWindows(entries, objective) }))
        .sort((a, b) => hourOf(b).rate - hourOf(a).rate || (a.brand < b.brand ? -1 : 1));
};

const drawTimeline = (counted: Counted[], objective: Objective): WindowBurn[] => {
    const points = Array.from({ length: pointCount }, noTally);
    for (const { ageMs, total, bad } of counted) {
        // A host's clock may stand a little behind the start of its own newest bucket.
        const point = points[pointCount - 1 - Math.max(0, Math.floor(ageMs / pointMs))];
        if (point !== undefined) {
            point.total += total;
            point.bad += bad;
        }
    }
    return points.map(point => rateOf(point, objective));
};

const burnDestination = (samples: HostSample[], objectives: Objectives, now: number, destination: string): DestinationBurn => {
    const objective = objectives.byDestination.get(destination) ?? objectives.standard;
    const counted = collect(samples, destination, objective, now);
    const burns = burnWindows(counted, objective);
    const { bad, rate } = burns[budgetWindow];
    const spenders = findSpenders(counted, objective, bad);
    return {
        destination,
        objective,
        level: levelOf(burns),
        windows: burns,
        budgetLeft: 1 - rate,
        spenders,
        unattributed: Math.max(0, bad - spenders.reduce((sum, spender) => sum + spender.count, 0)),
        brands: burnBrands(counted, objective),
        timeline: drawTimeline(counted, objective),
    };
};

/** Computes the burn of every destination that has an objective or was asked for by a request, by name. */
export const computeBurn = (samples: HostSample[], objectives: Objectives, now: number): DestinationBurn[] => {
    const seen = samples.flatMap(sample => sample.burn.series.map(series => series.destination));
    const destinations = new Set([...objectives.byDestination.keys(), ...seen]);
    return [...destinations].sort().map(destination => burnDestination(samples, objectives, now, destination));
};
