/** Keeps each priority and each workspace from being served far less often than all requests. */

/** The floors of one service on one host. Times are in milliseconds. */
export interface ServiceFloors {
    recordArrival(group: string, now: number): void;
    recordSend(group: string, now: number): void;
    /** Whether the group was lately sent to servers less often than its floor. */
    isBelow(group: string, now: number): boolean;
}

/** A group gets at least this fraction of the rate of all; users count one as starved below a quarter. */
const floorFraction = 0.35;
/** Counts halve in this time. */
const halfLifeMs = 8000;
/** Fewer arrivals than this say nothing. */
const minArrivals = 3;
/** Bounds the memory; groups beyond it have no floor. */
const maxGroups = 1000;

interface Counts {
    arrivals: number;
    sends: number;
    updatedAt: number;
}

/** Creates floors without counts. */
export const createServiceFloors = (): ServiceFloors => {
    const groups = new Map<string, Counts>();
    const total: Counts = { arrivals: 0, sends: 0, updatedAt: 0 };

    const decayed = (counts: Counts, now: number): Counts => {
        const factor = 0.5 ** (Math.max(0, now - counts.updatedAt) / halfLifeMs);
        counts.arrivals *= factor;
        counts.sends *= factor;
        counts.updatedAt = now;
        return counts;
    };

    const countsOf = (group: string, now: number): Counts | undefined => {
        let counts = groups.get(group);
        if (counts === undefined) {
            if (groups.size >= maxGroups) {
                return undefined;
            }
            counts = { arrivals: 0, sends: 0, updatedAt: now };
            groups.set(group, counts);
        }
        return decayed(counts, now);
    };

    const add = (group: string, field: "arrivals" | "sends", now: number): void => {
        decayed(total, now)[field] += 1;
        const counts = countsOf(group, now);
        if (counts !== undefined) {
            counts[field] += 1;
        }
    };

    return {
        recordArrival: (group, now) => add(group, "arrivals", now),
        recordSend: (group, now) => add(group, "sends", now),
        isBelow: (group, now) => {
            const counts = groups.get(group);
            if (counts === undefined || decayed(counts, now).arrivals < minArrivals) {
                return false;
            }
            const all = decayed(total, now);
            return counts.sends * all.arrivals < floorFraction * all.sends * counts.arrivals;
        },
    };
};
