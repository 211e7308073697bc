/**
 * Chooses among servers whose costs differ by less than what is known about them.
 *
 * Pattern: power of two choices. The load that a host knows is as old as a request lasts, so the server that looks best looks best to
 * all hosts of the zone, and queues what they send while others are idle. Two candidates at random, and the better one of them, bound
 * the share of the requests that a server attracts, and still avoid the busiest servers.
 */
import type { Random } from "../random.js";

/** A candidate with its cost. */
export interface Candidate<T> {
    value: T;
    /** Candidates of other groups than the best one's are never near-equal: what lies between them is billed. */
    group: string;
    cost: number;
}

/** Returns the better of two random candidates whose costs are at most `margin` above the least one; `undefined` without candidates. */
export const chooseNearEqual = <T>(candidates: readonly Candidate<T>[], margin: number, random: Random): T | undefined => {
    let best: Candidate<T> | undefined;
    for (const candidate of candidates) {
        if (best === undefined || candidate.cost < best.cost) {
            best = candidate;
        }
    }
    if (best === undefined) {
        return undefined;
    }
    const { group, cost } = best;
    const nearEqual = candidates.filter(candidate => candidate.group === group && candidate.cost <= cost + margin);
    const first = random.below(nearEqual.length);
    if (nearEqual.length === 1) {
        return best.value;
    }
    const second = (first + 1 + random.below(nearEqual.length - 1)) % nearEqual.length;
    const [one, other] = [nearEqual[first]!, nearEqual[second]!];
    return one.cost <= other.cost ? one.value : other.value;
};
