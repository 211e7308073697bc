import { expect } from "chai";
import { playRetries } from "./retry-budget-fleet.js";
import type { HostRestart, RetryLoad } from "./retry-budget-fleet.js";

const windowMs = 10_000;
const durationMs = 30_000;
const seed = 44;

/** Sizes of fleets with the bound that their operators set. */
const fleets = [
    { hostCount: 36, reserve: 58, ratePerS: 90 },
    { hostCount: 91, reserve: 160, ratePerS: 330 },
    { hostCount: 300, reserve: 500, ratePerS: 1000 },
];

type Disruption = Omit<RetryLoad, "hostCount" | "bound" | "durationMs" | "ratePerS"> & {
    name: string;
    ratePerS?: (now: number, usualRatePerS: number) => number;
};

const isWithin = (now: number, fromMs: number, untilMs: number): boolean => now >= fromMs && now < untilMs;
/** Nearly all attempts are declined, so each host spends all it has. */
const declinedFrom = (fromMs: number) => (now: number): number => isWithin(now, fromMs, durationMs) ? 0.95 : 0;

const restartsOf = (hosts: readonly number[], fromMs: number, intervalMs: number, toldAfterMs: number): HostRestart[] =>
    hosts.map((host, index) => ({ host, atMs: fromMs + index * intervalMs, toldAfterMs }));

const never = 1_000_000;

/** What may happen to a fleet of `hostCount` hosts. */
const disruptionsOf = (hostCount: number): Disruption[] => {
    const all = Array.from({ length: hostCount }, (_, index) => index);
    const half = Math.floor(hostCount / 2);
    const joining = Array.from({ length: Math.ceil(hostCount / 10) }, (_, index) => hostCount + index);
    return [
        { name: "no disruption but declined requests", declined: declinedFrom(4000) },
        {
            name: "hosts that restart one after the other",
            declined: declinedFrom(4000),
            restarts: restartsOf(all.slice(0, half), 4500, 4000 / half, 500),
        },
        {
            name: "hosts that restart twice within a window",
            declined: declinedFrom(4000),
            restarts: [...restartsOf(all, 4500, 10, 500), ...restartsOf(all, 9000, 10, 500)],
        },
        {
            name: "hosts that restart and never learn how many they are",
            declined: declinedFrom(4000),
            restarts: restartsOf(all, 2000, 10, never),
        },
        {
            name: "new hosts, of which the others do not learn",
            declined: declinedFrom(4000),
            joins: restartsOf(joining, 5000, 100, 500),
        },
        {
            name: "callers that move to the other half of the hosts",
            declined: declinedFrom(9000),
            hostOf: (now, random) => now < 12_000 ? random.below(half) : half + random.below(hostCount - half),
        },
        {
            name: "a burst that ends as the servers begin to decline",
            declined: declinedFrom(12_500),
            ratePerS: (now, usual) => isWithin(now, 5000, 15_000) ? 3 * usual : usual,
        },
        {
            name: "retries that wait for room and are sent at the same moment",
            declined: declinedFrom(4000),
            waitMs: now => isWithin(now, 4000, 20_000) ? 2000 - now % 2000 : 1,
        },
    ];
};

/** Guards against a fleet whose hosts keep to their parts of the retry budget while all of them together exceed it. */
describe("retry budgets of a fleet", () => {
    for (const { hostCount, reserve, ratePerS } of fleets) {
        for (const { name, ratePerS: rateAt, ...disruption } of disruptionsOf(hostCount)) {
            const load: RetryLoad = {
                hostCount,
                bound: { ratio: 0.2, reserve, windowMs },
                durationMs,
                ratePerS: now => rateAt?.(now, ratePerS) ?? ratePerS,
                ...disruption,
            };
            it(`keep to the bound in every window, ${hostCount} hosts, ${name} (seed ${seed})`, () => {
                const windows = playRetries(load, seed).sort((a, b) => b.retries - b.allowed - (a.retries - a.allowed));
                const { fromMs, retries, allowed } = windows[0]!;
                expect(retries, `retries from ${fromMs} ms on`).to.be.at.most(allowed);
            });
        }

        it(`leave retries most of the bound, ${hostCount} hosts (seed ${seed})`, () => {
            const load: RetryLoad = {
                hostCount,
                bound: { ratio: 0.2, reserve, windowMs },
                durationMs,
                ratePerS: () => ratePerS,
                declined: declinedFrom(4000),
            };
            const used = playRetries(load, seed).filter(({ fromMs }) => isWithin(fromMs, 4000, durationMs - windowMs));
            const usedFraction = used.reduce((sum, { retries, allowed }) => sum + retries / allowed, 0) / used.length;
            expect(usedFraction).to.be.above(0.5);
        });
    }
});
