/** Plays callers of many workspaces against a quota scheme, and judges what it has admitted. */
import { quotaWindowLimit } from "../index.js";
import type { Workspace } from "../index.js";
import { createQuotaFleet, newRandom, newTimeline, testBound } from "./quota-fleet.js";
import type { QuotaFleet, QuotaFleetOptions, QuotaScheme } from "./quota-fleet.js";

/** One play of a fleet. */
export interface QuotaScenario {
    hosts: number;
    seed: number;
    scheme: "shares" | "static" | "by-host";
    /** Part of the hosts in the first availability zone; even if absent. */
    firstZoneShare?: number;
    /** Factor of a workspace's usual rate at a time. */
    factor?: (workspace: number, atMs: number) => number;
    /** Factor of a workspace's quota at a time. */
    quotaFactor?: (workspace: number, atMs: number) => number;
    /** Times at which `quotaFactor` changes. */
    quotaChangesMs?: readonly number[];
    faults?: (fleet: QuotaFleet, killHosts: (part: number, untilMs: number) => void) => { atMs: number; run: () => void; }[];
    /** Whether the callers of a workspace are in one or two availability zones. */
    isClustered?: boolean;
}

/** What the observer has seen. */
export interface QuotaResult {
    /** Part of the requests within the quotas that were admitted. */
    servedPart: number;
    /** Highest ratio of the requests in a window and the limit of the rule. */
    worstWindow: number;
    /** The window with that ratio. */
    worst: string;
    requests: number;
    zoneBytes: number;
    zoneMessages: number;
    hostMessages: number;
}

const zones = 6;
const lengthMs = 30_000;
/** State hosts have time to divide the quotas before the first request. */
export const startMs = 12_000;
const workspaceCount = 80;
const usualPerHost = 4;
const quotaPart = 1.6;
/** A lower limit binds a window after the change is in force everywhere. */
const applyMs = 2500;

/** Rates of 80 workspaces, of which a few are large; the sum is that of the hosts. */
const usualRates = (hosts: number): number[] => {
    const weights = Array.from({ length: workspaceCount }, (_, index) => 1 / (index + 1.5));
    const sum = weights.reduce((a, b) => a + b, 0);
    return weights.map(weight => Math.max(0.6, weight / sum * hosts * usualPerHost));
};

const workspacesAt = (rates: readonly number[], scenario: QuotaScenario, atMs: number): Workspace[] =>
    rates.map((rate, index) => {
        const ratePerS = Math.round(rate * quotaPart * (scenario.quotaFactor?.(index, atMs) ?? 1) * 10) / 10;
        return { name: `w${index}`, keyDigests: [], ratePerS, burst: Math.ceil(ratePerS) };
    });

/** Buckets of one host each: a static division of the quota, or the whole quota in every host. */
const createNaiveScheme = ({ timeline }: QuotaFleetOptions, part: number): QuotaScheme => {
    let quotas = new Map<string, Workspace>();
    const buckets = new Map<string, { tokens: number; at: number; }>();
    return {
        setWorkspaces: next => {
            quotas = new Map(next.map(workspace => [workspace.name, workspace]));
        },
        hostKilled: () => undefined,
        request: (host, name, decide) => {
            const { ratePerS = 0, burst } = quotas.get(name)!;
            const capacity = Math.max(1, burst * part);
            const bucket = buckets.get(`${host} ${name}`) ?? { tokens: capacity, at: timeline.now() };
            buckets.set(`${host} ${name}`, bucket);
            bucket.tokens = Math.min(capacity, bucket.tokens + ratePerS * part * (timeline.now() - bucket.at) / 1000);
            bucket.at = timeline.now();
            const isAdmitted = bucket.tokens >= 1;
            bucket.tokens -= isAdmitted ? 1 : 0;
            decide(isAdmitted);
        },
    };
};

interface Seen {
    admittedAt: number[];
    /** Requests within the quota and admitted ones, by window of the rule. */
    allowed: number[];
    served: number[];
    tokens: number;
    at: number;
}

/** Plays a scenario. */
export const playQuotas = (scenario: QuotaScenario): QuotaResult => {
    const timeline = newTimeline();
    const random = newRandom(scenario.seed);
    const { hosts } = scenario;
    const hostZones = Array.from({ length: hosts }, (_, host) => {
        const first = scenario.firstZoneShare ?? 1 / zones;
        return host < first * hosts ? 0 : 1 + host % (zones - 1);
    });
    const options = { timeline, random, hostZones, zones };
    const shares = scenario.scheme === "shares" ? createQuotaFleet(options) : undefined;
    const scheme = shares ?? createNaiveScheme(options, scenario.scheme === "static" ? 1 / hosts : 1);
    const rates = usualRates(hosts);
    let workspaces = workspacesAt(rates, scenario, 0);
    scheme.setWorkspaces(workspaces);
    const limits = rates.map((_, index) => [{ atMs: -Infinity, workspace: workspaces[index]! }]);
    for (const atMs of scenario.quotaChangesMs ?? []) {
        timeline.after(startMs + atMs, () => {
            workspaces = workspacesAt(rates, scenario, atMs);
            scheme.setWorkspaces(workspaces);
            workspaces.forEach((workspace, index) => limits[index]!.push({ atMs: startMs + atMs, workspace }));
        });
    }
    const downUntil = hostZones.map(() => 0);
    const killHosts = (part: number, untilMs: number): void => {
        hostZones.forEach((_, host) => {
            if (random.next() < part) {
                downUntil[host] = untilMs;
                scheme.hostKilled(host);
            }
        });
    };
    if (shares !== undefined) {
        scenario.faults?.(shares, killHosts).forEach(({ atMs, run }) => timeline.after(startMs + atMs, run));
    }
    const homeZones = rates.map(() => [random.below(zones), random.below(zones)]);

    const pickHost = (workspace: number): number | undefined => {
        for (let tries = 0; tries < 20; tries += 1) {
            const host = random.below(hosts);
            const isHome = scenario.isClustered !== true || homeZones[workspace]!.includes(hostZones[host]!) || tries > 15;
            if (isHome && timeline.now() >= downUntil[host]!) {
                return host;
            }
        }
        return undefined;
    };

    const seen: Seen[] = workspaces.map(({ burst }) => ({ admittedAt: [], allowed: [], served: [], tokens: burst, at: startMs }));
    let requests = 0;
    const arrive = (index: number): void => {
        const now = timeline.now();
        const host = pickHost(index);
        const state = seen[index]!;
        if (host !== undefined) {
            requests += 1;
            const { ratePerS = 0, burst } = workspaces[index]!;
            state.tokens = Math.min(burst, state.tokens + ratePerS * (now - state.at) / 1000);
            state.at = now;
            const window = Math.floor((now - startMs) / testBound.windowMs);
            if (state.tokens >= 1) {
                state.tokens -= 1;
                state.allowed[window] = (state.allowed[window] ?? 0) + 1;
            }
            scheme.request(host, `w${index}`, isAdmitted => {
                if (isAdmitted && now >= downUntil[host]!) {
                    state.admittedAt.push(timeline.now());
                    state.served[window] = (state.served[window] ?? 0) + 1;
                }
            });
        }
        const factor = scenario.factor?.(index, now - startMs) ?? 1;
        const nextMs = -Math.log(1 - random.next()) * 1000 / (rates[index]! * factor);
        if (now + nextMs < startMs + lengthMs) {
            timeline.after(nextMs, () => arrive(index));
        }
    };
    rates.forEach((rate, index) => timeline.after(startMs + random.next() * 1000 / rate, () => arrive(index)));
    timeline.run(startMs + lengthMs + 3000);

    let [allowed, served, worstWindow, worst] = [0, 0, 0, ""];
    seen.forEach((state, index) => {
        state.allowed.forEach((count, window) => {
            allowed += count;
            served += Math.min(count, state.served[window] ?? 0);
        });
        state.admittedAt.sort((a, b) => a - b);
        let first = 0;
        state.admittedAt.forEach((at, last) => {
            while (state.admittedAt[first]! <= at - testBound.windowMs) {
                first += 1;
            }
            // A change binds a window after it is in force; before, the higher limit holds.
            const since = at - testBound.windowMs * 2 - applyMs;
            const inForce = limits[index]!.filter((limit, place, all) =>
                limit.atMs <= at && (all[place + 1]?.atMs ?? Infinity) > since
            );
            const limit = Math.max(
                ...inForce.map(({ workspace: { ratePerS = 0, burst } }) => quotaWindowLimit(ratePerS, burst, testBound)),
            );
            const ratio = (last - first + 1) / limit;
            if (ratio > worstWindow) {
                worstWindow = ratio;
                worst = `w${index} at ${at - startMs}: ${last - first + 1} of ${limit.toFixed(1)}`;
            }
        });
    });
    const { zoneBytes, zoneMessages, hostMessages } = shares?.counts ?? { zoneBytes: 0, zoneMessages: 0, hostMessages: 0 };
    return { servedPart: served / allowed, worstWindow, worst, requests, zoneBytes, zoneMessages, hostMessages };
};
