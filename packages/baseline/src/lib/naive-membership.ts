/** Membership by all-to-all heartbeats, in which a host that misses them is removed permanently. */

/** Membership as seen by one host. Times are in milliseconds. */
export interface NaiveMembership {
    recordHeartbeat(hostId: string, now: number): void;
    /** Returns the hosts that are considered alive. */
    alive(now: number): string[];
}

/** A host is removed when no heartbeat was received for this long. */
const heartbeatTimeoutMs = 2000;

/** Creates the membership of a host with the given other hosts. */
export const createNaiveMembership = (otherHostIds: string[]): NaiveMembership => {
    const lastHeartbeatAt = new Map(otherHostIds.map(hostId => [hostId, 0]));
    const removedHostIds = new Set<string>();

    const alive = (now: number): string[] => {
        for (const [hostId, receivedAt] of lastHeartbeatAt) {
            if (now - receivedAt > heartbeatTimeoutMs) {
                removedHostIds.add(hostId);
            }
        }
        return otherHostIds.filter(hostId => !removedHostIds.has(hostId));
    };

    return { recordHeartbeat: (hostId, now) => lastHeartbeatAt.set(hostId, now), alive };
};
