/** Draws the faults that strike a cluster: crashes, stops, cuts in one direction, lost disks, two losses in a row. */
import type { Random } from "@cassiapick/core";
import type { Cluster } from "./config-cluster.js";
import type { Timeline } from "./timeline.js";

const maxPauseBetweenMs = 200;
const maxOutageMs = 400;
/** The share of faults that strike the leader. */
const leaderShare = 0.5;

/** What the faults of one case share. */
export interface FaultOptions {
    cluster: Cluster;
    clock: Timeline;
    random: Random;
    /** When the last fault begins, in milliseconds. */
    untilMs: number;
}

type Fault = (options: FaultOptions, hostId: string) => void;

const outage = (random: Random): number => random.next() * maxOutageMs;

const crash: Fault = ({ cluster, clock, random }, hostId) => {
    cluster.crash(hostId);
    clock.after(outage(random), () => cluster.start(hostId));
};

const pause: Fault = ({ cluster, clock, random }, hostId) => {
    cluster.pause(hostId);
    clock.after(outage(random), () => cluster.resume(hostId));
};

const cutLinks = (options: FaultOptions, links: [string, string][]): void => {
    const { cluster, clock, random } = options;
    for (const [from, to] of links) {
        cluster.setCut(from, to, true);
    }
    clock.after(outage(random), () => {
        for (const [from, to] of links) {
            cluster.setCut(from, to, false);
        }
    });
};

const others = (cluster: Cluster, hostId: string): string[] => cluster.hostIds.filter(other => other !== hostId);

const cutOneWay: Fault = (options, hostId) => {
    const all = others(options.cluster, hostId);
    cutLinks(options, [[hostId, all[options.random.below(all.length)]!]]);
};

const mute: Fault = (options, hostId) => cutLinks(options, others(options.cluster, hostId).map(other => [hostId, other]));

const deafen: Fault = (options, hostId) => cutLinks(options, others(options.cluster, hostId).map(other => [other, hostId]));

const isolate: Fault = (options, hostId) => {
    mute(options, hostId);
    deafen(options, hostId);
};

/** Cuts each direction of each link with an even chance, so that no majority may be left. */
const scramble: Fault = options => {
    const { cluster, random } = options;
    const links = cluster.hostIds.flatMap(from => others(cluster, from).map((to): [string, string] => [from, to]));
    cutLinks(options, links.filter(() => random.next() < 0.5));
};

/** Crashes every host at once, as a power cut does. */
const crashAll: Fault = ({ cluster, clock, random }) => {
    for (const hostId of cluster.hostIds) {
        cluster.crash(hostId);
        clock.after(random.next() * maxOutageMs / 4, () => cluster.start(hostId));
    }
};

/** Lets one host fall behind, and crashes another when the first one hears again. */
const lagThenCrash: Fault = (options, hostId) => {
    const { cluster, clock, random } = options;
    const links = others(cluster, hostId).map((other): [string, string] => [other, hostId]);
    for (const [from, to] of links) {
        cluster.setCut(from, to, true);
    }
    clock.after(outage(random), () => {
        for (const [from, to] of links) {
            cluster.setCut(from, to, false);
        }
        crash(options, others(cluster, hostId)[random.below(links.length)]!);
    });
};

/** Loses one disk; the next may be lost the moment the first is a voter again, but not before. */
const loseDisk: Fault = ({ cluster, clock, random }, hostId) => {
    if (!cluster.allRecovered()) {
        return;
    }
    cluster.loseDisk(hostId);
    clock.after(random.next() * maxOutageMs / 4, () => cluster.start(hostId));
};

const faults: readonly Fault[] = [
    crash,
    crash,
    pause,
    cutOneWay,
    mute,
    deafen,
    isolate,
    scramble,
    crashAll,
    lagThenCrash,
    lagThenCrash,
    loseDisk,
    loseDisk,
];

/** Loses a second disk right after the first one was repaired. */
const chaseRepair = (options: FaultOptions, first: string): void => {
    const { cluster, clock, random, untilMs } = options;
    const wait = (): void => {
        if (clock.now() >= untilMs) {
            return;
        }
        if (!cluster.allRecovered()) {
            clock.after(1, wait);
            return;
        }
        const rest = others(cluster, first);
        loseDisk(options, rest[random.below(rest.length)]!);
    };
    loseDisk(options, first);
    wait();
};

/** Starts to draw faults until `untilMs`. */
export const startFaults = (options: FaultOptions): void => {
    const { cluster, clock, random } = options;
    const strike = (): void => {
        if (clock.now() >= options.untilMs) {
            return;
        }
        const any = cluster.hostIds[random.below(cluster.hostIds.length)]!;
        const hostId = random.next() < leaderShare ? cluster.leader() ?? any : any;
        const drawn = random.below(faults.length + 1);
        if (drawn === faults.length) {
            chaseRepair(options, hostId);
        }
        else {
            faults[drawn]!(options, hostId);
        }
        clock.after(random.next() * maxPauseBetweenMs, strike);
    };
    clock.after(maxPauseBetweenMs * (1 + random.next()), strike);
};
