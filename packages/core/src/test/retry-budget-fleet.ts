/** A fleet of entry hosts in fake time that send as many retries as their budgets allow. */
import { createHostRetryBudget, createRandom } from "../index.js";
import type { HostRetryBudget, Random, RetryBound } from "../index.js";
import { createFakeTimeline } from "./fake-timeline.js";

/** A host starts again at `atMs`, and learns the number of hosts `toldAfterMs` later. */
export interface HostRestart {
    host: number;
    atMs: number;
    toldAfterMs: number;
}

/** What the fleet meets; times are in milliseconds from the start of the requests. */
export interface RetryLoad {
    hostCount: number;
    bound: RetryBound;
    durationMs: number;
    ratePerS: (now: number) => number;
    /** Probability that a server declines an attempt. */
    declined: (now: number) => number;
    restarts?: readonly HostRestart[];
    /** Hosts that join while the load lasts; requests reach them too. */
    joins?: readonly HostRestart[];
    /** Selects the host of a request; by default any of them. */
    hostOf?: (now: number, random: Random) => number;
    /** How long a retry waits for room at the servers after it was granted. */
    waitMs?: (now: number) => number;
}

/** Number of retries in a window, and the largest number that the bound allows there. */
export interface RetryWindow {
    fromMs: number;
    retries: number;
    allowed: number;
}

const service = "quotes";
/** Hosts run for this long before the first request. */
const leadMs = 12_000;
const stepMs = 2;
const msPerSecond = 1000;
const maxAttempts = 4;
const networkMs = 5;
/** Windows begin at multiples of this. */
const windowStepMs = 100;
const maxClockOffsetMs = 1_000_000;

interface TestHost {
    budget: HostRetryBudget;
    /** The clocks of hosts differ. */
    clockOffsetMs: number;
}

const countFrom = (times: readonly number[], fromMs: number, windowMs: number): number =>
    times.filter(time => time >= fromMs && time < fromMs + windowMs).length;

/**
 * Compares each window with the bound as the users state it: the requests of the window itself, of the one before it, or of the one
 * half a window before it, whichever are most.
 */
const windowsOf = (
    { ratio, reserve, windowMs }: RetryBound,
    requests: number[],
    retries: number[],
    untilMs: number,
): RetryWindow[] => {
    const windows: RetryWindow[] = [];
    for (let fromMs = 0; fromMs < untilMs; fromMs += windowStepMs) {
        const counts = [0, windowMs / 2, windowMs].map(earlierMs => countFrom(requests, fromMs - earlierMs, windowMs));
        windows.push({
            fromMs,
            retries: countFrom(retries, fromMs, windowMs),
            allowed: ratio * Math.max(...counts) + reserve,
        });
    }
    return windows;
};

/** Plays a load; returns all windows. */
export const playRetries = (load: RetryLoad, seed: number): RetryWindow[] => {
    const timeline = createFakeTimeline();
    const random = createRandom(seed);
    const requests: number[] = [];
    const retries: number[] = [];

    const startHost = (): TestHost => {
        const clockOffsetMs = random.below(maxClockOffsetMs);
        return { budget: createHostRetryBudget(load.bound, timeline.now() + clockOffsetMs, random), clockOffsetMs };
    };
    const hosts = Array.from({ length: load.hostCount }, startHost);
    const tellHostCount = (host: number): void => hosts[host]!.budget.setHostCount(load.hostCount + (load.joins?.length ?? 0));
    hosts.forEach(({ budget }) => budget.setHostCount(load.hostCount));
    for (const { host, atMs, toldAfterMs } of [...load.restarts ?? [], ...load.joins ?? []]) {
        timeline.after(leadMs + atMs, () => {
            hosts[host] = startHost();
        });
        timeline.after(leadMs + atMs + toldAfterMs, () => tellHostCount(host));
    }

    /** Ends an attempt; a declined one is sent again if the budget of its host grants it. */
    const attemptEnded = ({ budget, clockOffsetMs }: TestHost, attempts: number): void => {
        const now = timeline.now();
        if (attempts >= maxAttempts || random.next() >= load.declined(now - leadMs)) {
            return;
        }
        const grant = budget.tryTake(service, now + clockOffsetMs);
        if (grant === undefined) {
            return;
        }
        timeline.after(load.waitMs?.(now - leadMs) ?? 1, () => {
            grant.use(timeline.now() + clockOffsetMs);
            retries.push(timeline.now() - leadMs);
            timeline.after(networkMs, () => attemptEnded({ budget, clockOffsetMs }, attempts + 1));
        });
    };

    const step = (): void => {
        const now = timeline.now() - leadMs;
        const expected = load.ratePerS(now) * stepMs / msPerSecond;
        const count = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0);
        for (let index = 0; index < count; index += 1) {
            const host = hosts[load.hostOf?.(now, random) ?? random.below(hosts.length)]!;
            requests.push(now);
            host.budget.recordRequest(service, timeline.now() + host.clockOffsetMs);
            timeline.after(networkMs, () => attemptEnded(host, 1));
        }
        if (now < load.durationMs) {
            timeline.after(stepMs, step);
        }
    };
    timeline.after(leadMs, step);
    timeline.run(leadMs + load.durationMs + load.bound.windowMs);
    return windowsOf(load.bound, requests, retries, load.durationMs);
};
