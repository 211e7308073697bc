/** Injects random faults into a cluster: crashes, pauses, one-way cuts, lost disks, and two disk losses in a row. */
import type { Random } from "@cassiapick/core";
import type { Cluster } from "./config-cluster.js";
import type { Timeline } from "./timeline.js";

const maxFaultIntervalMs = 200;
const maxOutageMs = 400;
/** The fraction of faults that are aimed at the leader. */
const leaderShare = 0.5;

/** Options of {@link startFaultInjection}. */
export interface FaultOptions {
    cluster: Cluster;
    timeline: Timeline;
    random: Random;
    /** No fault begins at or after this time, in milliseconds. */
    untilMs: number;
}

type Fault = (options: FaultOptions, hostId: string) => void;

const drawOutageMs = (random: Random): number => random.next() * maxOutageMs;

const crash: Fault = ({ cluster, timeline, random }, hostId) => {
    cluster.crash(hostId);
    timeline.after(drawOutageMs(random), () => cluster.start(hostId));
};

const pause: Fault = ({ cluster, timeline, random }, hostId) => {
    cluster.pause(hostId);
    timeline.after(drawOutageMs(random), () => cluster.resume(hostId));
};

const cutLinks = (options: FaultOptions, links: [string, string][]): void => {
    const { cluster, timeline, random } = options;
    for (const [from, to] of links) {
        cluster.setCut(from, to, true);
    }
    timeline.after(drawOutageMs(random), () => {
        for (const [from, to] of links) {
            cluster.setCut(from, to, false);
        }
    });
};

const otherHostIds = (cluster: Cluster, hostId: string): string[] => cluster.hostIds.filter(other => other !== hostId);

const cutOneLink: Fault = (options, hostId) => {
    const otherIds = otherHostIds(options.cluster, hostId);
    cutLinks(options, [[hostId, otherIds[options.random.below(otherIds.length)]!]]);
};

const cutOutgoing: Fault = (options, hostId) =>
    cutLinks(options, otherHostIds(options.cluster, hostId).map(other => [hostId, other]));

const cutIncoming: Fault = (options, hostId) =>
    cutLinks(options, otherHostIds(options.cluster, hostId).map(other => [other, hostId]));

const isolate: Fault = (options, hostId) => {
    cutOutgoing(options, hostId);
    cutIncoming(options, hostId);
};

/** Cuts each direction of each link with a probability of one half, so that possibly no majority is left. */
const cutRandomLinks: Fault = options => {
    const { cluster, random } = options;
    const links = cluster.hostIds.flatMap(from => otherHostIds(cluster, from).map((to): [string, string] => [from, to]));
    cutLinks(options, links.filter(() => random.next() < 0.5));
};

/** Crashes every host at once, as a power failure does. */
const crashAll: Fault = ({ cluster, timeline, random }) => {
    for (const hostId of cluster.hostIds) {
        cluster.crash(hostId);
        timeline.after(random.next() * maxOutageMs / 4, () => cluster.start(hostId));
    }
};

/** Makes one host fall behind, and crashes another when the first one receives messages again. */
const lagThenCrash: Fault = (options, hostId) => {
    const { cluster, timeline, random } = options;
    const links = otherHostIds(cluster, hostId).map((other): [string, string] => [other, hostId]);
    for (const [from, to] of links) {
        cluster.setCut(from, to, true);
    }
    timeline.after(drawOutageMs(random), () => {
        for (const [from, to] of links) {
            cluster.setCut(from, to, false);
        }
        crash(options, otherHostIds(cluster, hostId)[random.below(links.length)]!);
    });
};

/** Loses one disk, unless a host is still recovering: the next disk may be lost only once the first host has recovered. */
const loseDisk: Fault = ({ cluster, timeline, random }, hostId) => {
    if (!cluster.allRecovered()) {
        return;
    }
    cluster.loseDisk(hostId);
    timeline.after(random.next() * maxOutageMs / 4, () => cluster.start(hostId));
};

const faults: readonly Fault[] = [
    crash,
    crash,
    pause,
    cutOneLink,
    cutOutgoing,
    cutIncoming,
    isolate,
    cutRandomLinks,
    crashAll,
    lagThenCrash,
    lagThenCrash,
    loseDisk,
    loseDisk,
];

/** Loses a second disk as soon as the host that lost the first one has recovered. */
const loseSecondDisk = (options: FaultOptions, firstHostId: string): void => {
    const { cluster, timeline, random, untilMs } = options;
    const waitForRecovery = (): void => {
        if (timeline.now() >= untilMs) {
            return;
        }
        if (!cluster.allRecovered()) {
            timeline.after(1, waitForRecovery);
            return;
        }
        const remainingHostIds = otherHostIds(cluster, firstHostId);
        loseDisk(options, remainingHostIds[random.below(remainingHostIds.length)]!);
    };
    loseDisk(options, firstHostId);
    waitForRecovery();
};

/** Injects faults at random intervals until `untilMs`. */
export const startFaultInjection = (options: FaultOptions): void => {
    const { cluster, timeline, random } = options;
    const injectFault = (): void => {
        if (timeline.now() >= options.untilMs) {
            return;
        }
        const randomHostId = cluster.hostIds[random.below(cluster.hostIds.length)]!;
        const hostId = random.next() < leaderShare ? cluster.believedLeader() ?? randomHostId : randomHostId;
        const faultIndex = random.below(faults.length + 1);
        if (faultIndex === faults.length) {
            loseSecondDisk(options, hostId);
        }
        else {
            faults[faultIndex]!(options, hostId);
        }
        timeline.after(random.next() * maxFaultIntervalMs, injectFault);
    };
    timeline.after(maxFaultIntervalMs * (1 + random.next()), injectFault);
};
