/**
 * Tells which entry hosts have stopped sending, so that callers are not sent to hosts that are gone or frozen.
 *
 * A host that loses power closes no connection. Until its departure is agreed on, callers that are told its address wait a second
 * for a connection. Silence is suspected much earlier, from the pace at which the host itself has sent so far; to leave a healthy
 * host out of a few answers costs nothing.
 */

/** The entry hosts that are attached to one state host. Times are in milliseconds of its clock. */
export interface HostSilence {
    /** Records a message of a host. */
    heard(hostId: string, now: number): void;
    /** Records that a host's connection has closed; it counts as silent until it is heard again. */
    lost(hostId: string): void;
    /** Whether a host is silent; none is while most of them are, as then this state host itself was held up. */
    isSilent(hostId: string, now: number): boolean;
}

/** A host is suspected after this many of its usual intervals between messages, within the bounds below. */
const suspectAfterIntervals = 6;
/** Bounds of that time, in milliseconds: a host that is busy sends each 100 ms, and an idle one each 900 ms. */
const shortestSuspicionMs = 500;
const longestSuspicionMs = 1200;
/** Weight of a new interval in the average. */
const averageWeight = 0.1;
/** More silent hosts than this fraction are a sign of a fault on this side. */
const maxSilentFraction = 0.5;
/** Closed connections are forgotten after this time, in milliseconds: by then the fleet has agreed on the departure. */
const forgetLostMs = 5000;

interface Pace {
    heardAt: number;
    intervalMs: number;
    isLost: boolean;
}

/** Creates the record of a state host without entry hosts. */
export const createHostSilence = (): HostSilence => {
    const paces = new Map<string, Pace>();

    const isQuiet = ({ heardAt, intervalMs, isLost }: Pace, now: number): boolean =>
        isLost
        || now - heardAt > Math.min(longestSuspicionMs, Math.max(shortestSuspicionMs, suspectAfterIntervals * intervalMs));

    return {
        heard: (hostId, now) => {
            const pace = paces.get(hostId);
            if (pace === undefined || pace.isLost) {
                paces.set(hostId, { heardAt: now, intervalMs: longestSuspicionMs, isLost: false });
                return;
            }
            pace.intervalMs += averageWeight * (Math.min(longestSuspicionMs, now - pace.heardAt) - pace.intervalMs);
            pace.heardAt = now;
        },
        lost: hostId => {
            const pace = paces.get(hostId);
            if (pace !== undefined) {
                pace.isLost = true;
            }
        },
        isSilent: (hostId, now) => {
            const pace = paces.get(hostId);
            if (pace === undefined || !isQuiet(pace, now)) {
                return false;
            }
            for (const [id, { isLost, heardAt }] of paces) {
                if (isLost && now - heardAt > forgetLostMs) {
                    paces.delete(id);
                }
            }
            const quietCount = [...paces.values()].filter(other => isQuiet(other, now)).length;
            return paces.has(hostId) && quietCount <= maxSilentFraction * paces.size;
        },
    };
};
