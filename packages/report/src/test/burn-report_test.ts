/** Burn rates for given buckets, and compared with a recomputation from single requests. */
import { AttemptClass, BurnOutcome, RefusalKind } from "@cassiapick/core";
import type { BurnBucket, BurnFault } from "@cassiapick/core";
import { expect } from "chai";
import fc from "fast-check";
import { BurnLevel, BurnWindow, computeBurn, windowMs } from "../lib/burn-report.js";
import type { Objective } from "../lib/objectives.js";
import { mergeSamples } from "../lib/samples.js";
import type { HostSample } from "../lib/samples.js";

const seed = 20_261_203;
const minuteMs = 60_000;
const now = 1_000_000 * minuteMs;
const defaultObjective: Objective = { target: 0.99, slowIsBad: true };
const objectives = { defaultObjective, byDestination: new Map<string, Objective>() };

const bucketOf = (minutesAgo: number, good: number, bad = 0, slow = 0, faults: BurnFault[] = []): BurnBucket => ({
    startMs: now - minutesAgo * minuteMs,
    counts: {
        [BurnOutcome.Completed]: good,
        [BurnOutcome.ServerError]: bad,
        [BurnOutcome.NotRun]: 0,
        [BurnOutcome.Unknown]: 0,
    },
    slow,
    faults,
});

const sampleOf = (hostId: string, buckets: BurnBucket[], overrides: Partial<HostSample> = {}): HostSample => ({
    hostId,
    incarnation: 1,
    hostNow: now,
    takenAt: now,
    burn: {
        bucketMs: minuteMs,
        keptSince: now - windowMs[BurnWindow.SixHours],
        series: [{ brand: "oka", destination: "bookings", slowAfterMs: 1000, buckets }],
    },
    ...overrides,
});

const computeBookings = (samples: HostSample[], objective = defaultObjective) =>
    computeBurn(samples, { ...objectives, byDestination: new Map([["bookings", objective]]) }, now)[0]!;

describe("computeBurn", () => {
    const cases: Array<
        { name: string; buckets: BurnBucket[]; rates: [number, number, number]; level: BurnLevel; left: number; }
    > = [
        { name: "no request", buckets: [], rates: [0, 0, 0], level: BurnLevel.NoData, left: 1 },
        { name: "only good ones", buckets: [bucketOf(1, 100)], rates: [0, 0, 0], level: BurnLevel.Ok, left: 1 },
        { name: "exactly the budget", buckets: [bucketOf(1, 99, 1)], rates: [1, 1, 1], level: BurnLevel.Ok, left: 0 },
        { name: "slow answers", buckets: [bucketOf(1, 100, 0, 2)], rates: [2, 2, 2], level: BurnLevel.Spent, left: -1 },
        { name: "a fault just now", buckets: [bucketOf(1, 80, 20)], rates: [20, 20, 20], level: BurnLevel.Fast, left: -19 },
        {
            name: "a fault that has ended",
            buckets: [bucketOf(1, 100), bucketOf(30, 80, 20)],
            rates: [0, 10, 10],
            level: BurnLevel.Slow,
            left: -9,
        },
        {
            name: "a fault hours ago",
            buckets: [bucketOf(1, 100), bucketOf(120, 100, 20)],
            rates: [0, 0, 100 * 20 / 220],
            level: BurnLevel.Spent,
            left: 1 - 100 * 20 / 220,
        },
        {
            name: "a single bad request of one",
            buckets: [bucketOf(1, 0, 1)],
            rates: [100, 100, 100],
            level: BurnLevel.Spent,
            left: -99,
        },
        {
            name: "buckets at the window boundaries",
            buckets: [bucketOf(5, 0, 1), bucketOf(4, 1), bucketOf(60, 0, 1), bucketOf(360, 0, 9)],
            rates: [0, 50, 200 / 3],
            level: BurnLevel.Spent,
            left: 1 - 200 / 3,
        },
    ];
    for (const { name, buckets, rates, level, left } of cases) {
        it(`rates ${name}`, () => {
            const burn = computeBookings([sampleOf("entry-1", buckets)]);
            Object.values(BurnWindow).forEach((window, index) =>
                expect(burn.windows[window].rate).to.be.closeTo(rates[index]!, 1e-9)
            );
            expect(burn.level).to.equal(level);
            expect(burn.budgetLeft).to.be.closeTo(left, 1e-9);
        });
    }

    it("does not count slow answers as bad where the objective allows them", () => {
        const faults = [{ serverId: "book-1", fault: "slow" as const, count: 5 }];
        const burn = computeBookings([sampleOf("entry-1", [bucketOf(1, 100, 0, 5, faults)])], { target: 0.99, slowIsBad: false });
        expect(burn).to.deep.include({ level: BurnLevel.Ok, spenders: [] });
    });

    it("lists the spenders, largest first, and the unattributed bad requests", () => {
        const faults = [
            { serverId: "book-1", fault: AttemptClass.Timeout, count: 6 },
            { fault: RefusalKind.NoCapacity, count: 3 },
        ];
        const burn = computeBookings([sampleOf("entry-1", [bucketOf(1, 100, 10, 0, faults)])]);
        expect(burn.spenders).to.deep.equal([
            { serverId: "book-1", fault: "timeout", count: 6, share: 0.6 },
            { serverId: undefined, fault: "no-capacity", count: 3, share: 0.3 },
        ]);
        expect(burn.unattributed).to.equal(1);
    });

    it("uses the clock of each host", () => {
        const skew = 90 * minuteMs;
        const bucket = { ...bucketOf(1, 90, 10), startMs: now - skew - minuteMs };
        expect(computeBookings([sampleOf("entry-1", [bucket], { hostNow: now - skew })]).windows["5m"].bad).to.equal(10);
    });

    it("adds up the processes of a host and counts no sample twice", () => {
        const first = sampleOf("entry-1", [bucketOf(40, 99, 1)], { takenAt: now - 2 * minuteMs, hostNow: now - 2 * minuteMs });
        const earlier = sampleOf("entry-1", [bucketOf(40, 9, 1)], { takenAt: now - 9 * minuteMs, hostNow: now - 9 * minuteMs });
        const second = sampleOf("entry-1", [bucketOf(1, 99, 1)], { incarnation: 2 });
        const merged = mergeSamples([earlier, first], [second], now);
        expect(computeBookings(merged).windows["1h"]).to.deep.include({ total: 200, bad: 2 });
        expect(mergeSamples(merged, [], now + 361 * minuteMs)).to.deep.equal([]);
    });

    it("matches a recomputation from single requests", () => {
        const countArbitrary = fc.nat(5);
        const bucketArbitrary = fc.record({
            ago: fc.nat(400),
            completed: countArbitrary,
            failed: countArbitrary,
            notRun: countArbitrary,
            unknown: countArbitrary,
            slow: countArbitrary,
        });
        const seriesArbitrary = fc.record({
            host: fc.nat(3),
            brand: fc.constantFrom("oka", "laval"),
            buckets: fc.array(bucketArbitrary, { maxLength: 8 }),
        });
        const objectiveArbitrary = fc.record({ target: fc.constantFrom(0.9, 0.99, 0.999), slowIsBad: fc.boolean() });
        fc.assert(
            fc.property(fc.array(seriesArbitrary, { maxLength: 8 }), objectiveArbitrary, (allSeries, objective) => {
                const requests: Array<{ brand: string; ago: number; bad: boolean; }> = [];
                const samples = allSeries.map(({ host, brand, buckets }, index) => {
                    const sampleBuckets = buckets.map(({ ago, completed, failed, notRun, unknown, slow }) => {
                        const late = Math.min(slow, completed);
                        for (let i = 0; i < completed; i += 1) {
                            requests.push({ brand, ago, bad: objective.slowIsBad && i < late });
                        }
                        for (let i = 0; i < failed + notRun + unknown; i += 1) {
                            requests.push({ brand, ago, bad: true });
                        }
                        const counts = { "completed": completed, "server-error": failed, "not-run": notRun, "unknown": unknown };
                        return { ...bucketOf(ago, 0, 0, late), counts };
                    });
                    const sample = sampleOf(`entry-${host}`, sampleBuckets, { incarnation: index });
                    return { ...sample, burn: { ...sample.burn, series: [{ ...sample.burn.series[0]!, brand }] } };
                });
                const burn = computeBookings(mergeSamples([], samples, now), objective);
                for (const window of Object.values(BurnWindow)) {
                    const inWindow = requests.filter(request => request.ago * minuteMs < windowMs[window]);
                    const bad = inWindow.filter(request => request.bad).length;
                    expect(burn.windows[window].total).to.equal(inWindow.length);
                    expect(burn.windows[window].bad).to.equal(bad);
                    expect(burn.windows[window].rate)
                        .to.be.closeTo(inWindow.length === 0 ? 0 : bad / inWindow.length / (1 - objective.target), 1e-9);
                    for (const brand of burn.brands) {
                        expect(brand.windows[window].bad)
                            .to.equal(inWindow.filter(request => request.bad && request.brand === brand.brand).length);
                    }
                }
                expect(burn.timeline.reduce((sum, point) => sum + point.bad, 0)).to.equal(burn.windows["6h"].bad);
            }),
            { seed, numRuns: 300 },
        );
    });
});
