/** Draws the faults of one case of the proof of at most once. */
import type { ClaimHost, Random } from "@cassiapick/core";

/** The combinations of faults that a case can have. */
export enum FaultMix {
    /** Nothing fails; every request must be accepted. */
    NoFaults = "calm",
    /** One host at a time restarts; requests after the last restart must be accepted. */
    OneRestartAtATime = "one-at-a-time",
    /** Faults of every kind at any time, also at once and repeatedly. */
    AllFaults = "storm",
    /** Several roster changes in a row, with lost messages and restarts. */
    RosterChanges = "rosters",
    /** A horizon of a few seconds, with pauses and restarts of about that length. */
    HorizonEdge = "horizon-edge",
    /** A few hosts that restart repeatedly within milliseconds, while claims and votes are in transit. */
    QuickRestarts = "quick-restarts",
    /** A few hosts whose roster changes while they restart and pause, and while some links fail in one direction. */
    SmallRosters = "small-rosters",
}

/** A time span in milliseconds, from `from` up to but not including `to`. */
export interface TimeSpan {
    from: number;
    to: number;
}

/** A span in which messages from one host to another are lost. */
export interface LinkCut extends TimeSpan {
    fromHostId: string;
    toHostId: string;
}

/** A span in which a host is down or paused. */
export interface HostTimeSpan extends TimeSpan {
    hostId: string;
}

/** The faults of one case. Times are in milliseconds, and shares are fractions of the messages. */
export interface FaultPlan {
    mix: FaultMix;
    horizonMs: number;
    claimTimeoutMs: number;
    keyCount: number;
    /** The longest time that a backend server takes for a request. */
    serviceMs: number;
    hosts: ClaimHost[];
    lossShare: number;
    duplicateShare: number;
    delayedShare: number;
    maxExtraDelayMs: number;
    cuts: LinkCut[];
    crashes: HostTimeSpan[];
    pauses: HostTimeSpan[];
    /** The rosters that take effect, in order. */
    rosterChanges: { at: number; hosts: ClaimHost[]; }[];
    /** When the state hosts, which publish rosters, are unreachable. */
    stateOutages: TimeSpan[];
    /** When the faults have ended and requests must be accepted again; `undefined` where too much may be lost for that. */
    recoveredAt: number | undefined;
}

/** How long callers send requests, in milliseconds. */
export const callersActiveMs = 24_000;
const regions = ["montreal", "quebec", "saguenay"];
const joiningHostCount = 3;
const faultFreeMs = 3000;
const restartIntervalMs = 2500;

const drawHosts = (count: number): ClaimHost[] =>
    Array.from({ length: count }, (_, index) => ({
        hostId: `host-${index}`,
        region: regions[index % regions.length]!,
        availabilityZone: `${regions[index % regions.length]!}-${Math.floor(index / regions.length) % 2}`,
    }));

const drawSpan = (random: Random, maxLengthMs: number, latestStartMs = callersActiveMs): TimeSpan => {
    const from = random.below(latestStartMs);
    return { from, to: from + 1 + random.below(maxLengthMs) };
};

const createMany = <T>(count: number, draw: (index: number) => T): T[] =>
    Array.from({ length: count }, (_, index) => draw(index));

const pick = <T>(random: Random, items: T[]): T => items[random.below(items.length)]!;

/** Draws one-way cuts between one host and most of the others: of what it sends, or of what it receives. */
const drawCuts = (random: Random, hosts: ClaimHost[], count: number): LinkCut[] =>
    createMany(count, () => {
        const span = drawSpan(random, 4000);
        const { hostId } = pick(random, hosts);
        const otherHostIds = hosts.filter(other => other.hostId !== hostId && random.next() < 0.7).map(other => other.hostId);
        const cutsIncoming = random.next() < 0.5;
        return otherHostIds.map(other => ({
            ...span,
            fromHostId: cutsIncoming ? other : hostId,
            toHostId: cutsIncoming ? hostId : other,
        }));
    }).flat();

const drawHostSpans = (random: Random, hosts: ClaimHost[], count: number, maxLengthMs: number): HostTimeSpan[] =>
    createMany(count, () => ({ ...drawSpan(random, maxLengthMs), hostId: pick(random, hosts).hostId }));

const drawRosterChanges = (random: Random, hosts: ClaimHost[], count: number): FaultPlan["rosterChanges"] => {
    let at = 1000;
    return createMany(count, () => {
        // Some changes follow so soon that not every host has received the previous one.
        at += random.next() < 0.4 ? 50 : random.below(8000);
        const leavingHostId = pick(random, hosts).hostId;
        const otherLeavingHostId = pick(random, hosts).hostId;
        return { at, hosts: hosts.filter(({ hostId }) => hostId !== leavingHostId && hostId !== otherLeavingHostId) };
    });
};

const drawFaultFreePlan = (random: Random): FaultPlan => ({
    mix: FaultMix.NoFaults,
    horizonMs: 10_000,
    claimTimeoutMs: 200,
    keyCount: 24,
    serviceMs: 1500,
    hosts: drawHosts(6 + joiningHostCount + random.below(4)),
    lossShare: 0,
    duplicateShare: 0,
    delayedShare: 0,
    maxExtraDelayMs: 0,
    cuts: [],
    crashes: [],
    pauses: [],
    rosterChanges: [],
    stateOutages: [],
    recoveredAt: 0,
});

const restartOneAtATime = (random: Random, hosts: ClaimHost[]): HostTimeSpan[] => {
    const restartCount = Math.floor((callersActiveMs - faultFreeMs) / restartIntervalMs) - 1;
    return createMany(restartCount, index => {
        const from = 500 + index * restartIntervalMs + random.below(500);
        return { from, to: from + 10 + random.below(300), hostId: pick(random, hosts).hostId };
    });
};

const drawLinkFaults = (random: Random): Partial<FaultPlan> => ({
    lossShare: random.next() * 0.2,
    duplicateShare: random.next() * 0.2,
    delayedShare: random.next() * 0.15,
    maxExtraDelayMs: 50 + random.below(2000),
});

const planDrawers: Record<FaultMix, (random: Random) => FaultPlan> = {
    [FaultMix.NoFaults]: drawFaultFreePlan,
    [FaultMix.OneRestartAtATime]: random => {
        const base = drawFaultFreePlan(random);
        const crashes = restartOneAtATime(random, base.hosts);
        return { ...base, mix: FaultMix.OneRestartAtATime, crashes, recoveredAt: callersActiveMs - faultFreeMs };
    },
    [FaultMix.AllFaults]: random => {
        const base = drawFaultFreePlan(random);
        return {
            ...base,
            ...drawLinkFaults(random),
            mix: FaultMix.AllFaults,
            cuts: drawCuts(random, base.hosts, random.below(8)),
            crashes: drawHostSpans(random, base.hosts, random.below(12), 2000),
            pauses: drawHostSpans(random, base.hosts, random.below(10), 5000),
            rosterChanges: drawRosterChanges(random, base.hosts, random.below(3)),
            stateOutages: createMany(random.below(3), () => drawSpan(random, 6000)),
            recoveredAt: undefined,
        };
    },
    [FaultMix.RosterChanges]: random => {
        const base = drawFaultFreePlan(random);
        return {
            ...base,
            ...drawLinkFaults(random),
            mix: FaultMix.RosterChanges,
            horizonMs: 5000,
            cuts: drawCuts(random, base.hosts, random.below(4)),
            crashes: drawHostSpans(random, base.hosts, random.below(6), 800),
            pauses: drawHostSpans(random, base.hosts, random.below(4), 4000),
            rosterChanges: drawRosterChanges(random, base.hosts, 2 + random.below(4)),
            stateOutages: createMany(random.below(2), () => drawSpan(random, 3000)),
            recoveredAt: undefined,
        };
    },
    [FaultMix.HorizonEdge]: random => {
        const base = drawFaultFreePlan(random);
        return {
            ...base,
            ...drawLinkFaults(random),
            mix: FaultMix.HorizonEdge,
            horizonMs: 2500,
            crashes: drawHostSpans(random, base.hosts, 4 + random.below(12), 400),
            pauses: drawHostSpans(random, base.hosts, 2 + random.below(8), 2500),
            recoveredAt: undefined,
        };
    },
    [FaultMix.QuickRestarts]: random => {
        const base = drawFaultFreePlan(random);
        const hosts = drawHosts(3 + random.below(3));
        return {
            ...base,
            mix: FaultMix.QuickRestarts,
            hosts,
            claimTimeoutMs: 600,
            keyCount: 120,
            serviceMs: 4000,
            lossShare: 0.1 + random.next() * 0.4,
            duplicateShare: random.next() * 0.2,
            delayedShare: random.next() * 0.5,
            maxExtraDelayMs: 50 + random.below(400),
            crashes: drawHostSpans(random, hosts, 4 + random.below(16), 40),
            recoveredAt: undefined,
        };
    },
    [FaultMix.SmallRosters]: random => {
        const base = planDrawers[FaultMix.QuickRestarts](random);
        const hosts = drawHosts(3 + joiningHostCount + random.below(2));
        return {
            ...base,
            mix: FaultMix.SmallRosters,
            hosts,
            horizonMs: 4000,
            claimTimeoutMs: 400,
            keyCount: 80,
            lossShare: random.next() * 0.3,
            cuts: drawCuts(random, hosts, random.below(5)),
            crashes: drawHostSpans(random, hosts, random.below(10), 300),
            pauses: drawHostSpans(random, hosts, random.below(8), 3000),
            rosterChanges: drawRosterChanges(random, hosts, 2 + random.below(5)),
            stateOutages: createMany(random.below(2), () => drawSpan(random, 3000)),
        };
    },
};

/** Draws a case with the given combination of faults. */
export const drawPlan = (mix: FaultMix, random: Random): FaultPlan => planDrawers[mix](random);

/** Returns the hosts of the first roster; the others join with a roster change. */
export const initialHosts = (plan: FaultPlan): ClaimHost[] =>
    plan.rosterChanges.length === 0 ? plan.hosts : plan.hosts.slice(0, -joiningHostCount);
