/** What goes wrong in one case of the proof, drawn from the seed. */
import type { ClaimHost, Random } from "@cassiapick/core";

/** The kinds of cases. */
export enum FaultMix {
    /** Nothing fails; every booking must be taken. */
    Calm = "calm",
    /** One host at a time restarts; bookings after the last repair must be taken. */
    OneAtATime = "one-at-a-time",
    /** Everything at any moment, together and twice. */
    Storm = "storm",
    /** Roster changes, several in a row, under lost messages and restarts. */
    Rosters = "rosters",
    /** A horizon of seconds, with freezes and restarts close to it. */
    HorizonEdge = "horizon-edge",
    /** A few hosts that restart within milliseconds again and again, while claims and votes are on their way. */
    QuickRestarts = "quick-restarts",
    /** Few hosts whose list changes while they restart, freeze, and hear each other one way. */
    SmallRosters = "small-rosters",
}

/** A stretch of time in which something is wrong. */
export interface Span {
    from: number;
    to: number;
}

/** Messages from one host to another are lost. */
export interface Cut extends Span {
    fromHostId: string;
    toHostId: string;
}

/** A host is down, or stands still. */
export interface HostSpan extends Span {
    hostId: string;
}

/** One drawn case; times in milliseconds. */
export interface FaultPlan {
    mix: FaultMix;
    horizonMs: number;
    claimTimeoutMs: number;
    keys: number;
    /** The longest time that a backend server takes. */
    serviceMs: number;
    hosts: ClaimHost[];
    lossShare: number;
    repeatShare: number;
    slowShare: number;
    slowMs: number;
    cuts: Cut[];
    crashes: HostSpan[];
    freezes: HostSpan[];
    /** Lists of hosts that come into force, one after the other. */
    rosterChanges: { at: number; hosts: ClaimHost[]; }[];
    /** When the state hosts, which hand out rosters, are out of reach. */
    stateOutages: Span[];
    /** When the faults end and bookings must be taken again; `undefined` where too much may be lost for that. */
    mendedAt: number | undefined;
}

/** How long callers go on sending, in milliseconds. */
export const activeMs = 24_000;
const regions = ["montreal", "quebec", "saguenay"];
const joiningHosts = 3;
const faultFreeMs = 3000;
const repairMs = 2500;

const drawHosts = (count: number): ClaimHost[] =>
    Array.from({ length: count }, (_, index) => ({
        hostId: `host-${index}`,
        region: regions[index % regions.length]!,
        availabilityZone: `${regions[index % regions.length]!}-${Math.floor(index / regions.length) % 2}`,
    }));

const drawSpan = (random: Random, longestMs: number, end = activeMs): Span => {
    const from = random.below(end);
    return { from, to: from + 1 + random.below(longestMs) };
};

const several = <T>(count: number, draw: (index: number) => T): T[] => Array.from({ length: count }, (_, index) => draw(index));

const pick = <T>(random: Random, items: T[]): T => items[random.below(items.length)]!;

/** One-way cuts: of one link, or of everything that one host sends or hears. */
const drawCuts = (random: Random, hosts: ClaimHost[], count: number): Cut[] =>
    several(count, () => {
        const span = drawSpan(random, 4000);
        const { hostId } = pick(random, hosts);
        const others = hosts.filter(other => other.hostId !== hostId && random.next() < 0.7).map(other => other.hostId);
        const isDeaf = random.next() < 0.5;
        return others.map(other => ({
            ...span,
            fromHostId: isDeaf ? other : hostId,
            toHostId: isDeaf ? hostId : other,
        }));
    }).flat();

const drawHostSpans = (random: Random, hosts: ClaimHost[], count: number, longestMs: number): HostSpan[] =>
    several(count, () => ({ ...drawSpan(random, longestMs), hostId: pick(random, hosts).hostId }));

const drawRosterChanges = (random: Random, hosts: ClaimHost[], count: number): FaultPlan["rosterChanges"] => {
    let at = 1000;
    return several(count, () => {
        // Some changes follow at once, before the one before is known everywhere.
        at += random.next() < 0.4 ? 50 : random.below(8000);
        const leaving = pick(random, hosts).hostId;
        const alsoLeaving = pick(random, hosts).hostId;
        return { at, hosts: hosts.filter(({ hostId }) => hostId !== leaving && hostId !== alsoLeaving) };
    });
};

const calmPlan = (random: Random): FaultPlan => ({
    mix: FaultMix.Calm,
    horizonMs: 10_000,
    claimTimeoutMs: 200,
    keys: 24,
    serviceMs: 1500,
    hosts: drawHosts(6 + joiningHosts + random.below(4)),
    lossShare: 0,
    repeatShare: 0,
    slowShare: 0,
    slowMs: 0,
    cuts: [],
    crashes: [],
    freezes: [],
    rosterChanges: [],
    stateOutages: [],
    mendedAt: 0,
});

const restartOneAtATime = (random: Random, hosts: ClaimHost[]): HostSpan[] => {
    const restarts = Math.floor((activeMs - faultFreeMs) / repairMs) - 1;
    return several(restarts, index => {
        const from = 500 + index * repairMs + random.below(500);
        return { from, to: from + 10 + random.below(300), hostId: pick(random, hosts).hostId };
    });
};

const noisy = (random: Random): Partial<FaultPlan> => ({
    lossShare: random.next() * 0.2,
    repeatShare: random.next() * 0.2,
    slowShare: random.next() * 0.15,
    slowMs: 50 + random.below(2000),
});

const drawers: Record<FaultMix, (random: Random) => FaultPlan> = {
    [FaultMix.Calm]: calmPlan,
    [FaultMix.OneAtATime]: random => {
        const base = calmPlan(random);
        const crashes = restartOneAtATime(random, base.hosts);
        return { ...base, mix: FaultMix.OneAtATime, crashes, mendedAt: activeMs - faultFreeMs };
    },
    [FaultMix.Storm]: random => {
        const base = calmPlan(random);
        return {
            ...base,
            ...noisy(random),
            mix: FaultMix.Storm,
            cuts: drawCuts(random, base.hosts, random.below(8)),
            crashes: drawHostSpans(random, base.hosts, random.below(12), 2000),
            freezes: drawHostSpans(random, base.hosts, random.below(10), 5000),
            rosterChanges: drawRosterChanges(random, base.hosts, random.below(3)),
            stateOutages: several(random.below(3), () => drawSpan(random, 6000)),
            mendedAt: undefined,
        };
    },
    [FaultMix.Rosters]: random => {
        const base = calmPlan(random);
        return {
            ...base,
            ...noisy(random),
            mix: FaultMix.Rosters,
            horizonMs: 5000,
            cuts: drawCuts(random, base.hosts, random.below(4)),
            crashes: drawHostSpans(random, base.hosts, random.below(6), 800),
            freezes: drawHostSpans(random, base.hosts, random.below(4), 4000),
            rosterChanges: drawRosterChanges(random, base.hosts, 2 + random.below(4)),
            stateOutages: several(random.below(2), () => drawSpan(random, 3000)),
            mendedAt: undefined,
        };
    },
    [FaultMix.HorizonEdge]: random => {
        const base = calmPlan(random);
        return {
            ...base,
            ...noisy(random),
            mix: FaultMix.HorizonEdge,
            horizonMs: 2500,
            crashes: drawHostSpans(random, base.hosts, 4 + random.below(12), 400),
            freezes: drawHostSpans(random, base.hosts, 2 + random.below(8), 2500),
            mendedAt: undefined,
        };
    },
    [FaultMix.QuickRestarts]: random => {
        const base = calmPlan(random);
        const hosts = drawHosts(3 + random.below(3));
        return {
            ...base,
            mix: FaultMix.QuickRestarts,
            hosts,
            claimTimeoutMs: 600,
            keys: 120,
            serviceMs: 4000,
            lossShare: 0.1 + random.next() * 0.4,
            repeatShare: random.next() * 0.2,
            slowShare: random.next() * 0.5,
            slowMs: 50 + random.below(400),
            crashes: drawHostSpans(random, hosts, 4 + random.below(16), 40),
            mendedAt: undefined,
        };
    },
    [FaultMix.SmallRosters]: random => {
        const base = drawers[FaultMix.QuickRestarts](random);
        const hosts = drawHosts(3 + joiningHosts + random.below(2));
        return {
            ...base,
            mix: FaultMix.SmallRosters,
            hosts,
            horizonMs: 4000,
            claimTimeoutMs: 400,
            keys: 80,
            lossShare: random.next() * 0.3,
            cuts: drawCuts(random, hosts, random.below(5)),
            crashes: drawHostSpans(random, hosts, random.below(10), 300),
            freezes: drawHostSpans(random, hosts, random.below(8), 3000),
            rosterChanges: drawRosterChanges(random, hosts, 2 + random.below(5)),
            stateOutages: several(random.below(2), () => drawSpan(random, 3000)),
        };
    },
};

/** Draws a case of the given kind. */
export const drawPlan = (mix: FaultMix, random: Random): FaultPlan => drawers[mix](random);

/** Hosts that are in the roster from the start; the others join with a roster change. */
export const initialHosts = (plan: FaultPlan): ClaimHost[] =>
    plan.rosterChanges.length === 0 ? plan.hosts : plan.hosts.slice(0, -joiningHosts);
