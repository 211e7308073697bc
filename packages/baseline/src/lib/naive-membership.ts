/** Membership by heartbeats of each host to each, where silence is death for good. */

/** One host's naive view. Times are in milliseconds. */
export interface NaiveMembership {
    heard(hostId: string, now: number): void;
    /** Hosts that are held to be alive. */
    alive(now: number): string[];
}

/** Silence after which a host is dead. */
const deadAfterMs = 2000;

/** Creates the view of a host that knows the others. */
export const createNaiveMembership = (others: string[]): NaiveMembership => {
    const lastHeard = new Map(others.map(hostId => [hostId, 0]));
    const dead = new Set<string>();

    const alive = (now: number): string[] => {
        for (const [hostId, at] of lastHeard) {
            if (now - at > deadAfterMs) {
                dead.add(hostId);
            }
        }
        return others.filter(hostId => !dead.has(hostId));
    };

    return { heard: (hostId, now) => lastHeard.set(hostId, now), alive };
};
