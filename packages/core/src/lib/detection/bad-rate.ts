/** How often something goes wrong at a pool's other members. */

/** Decaying counts of samples, bad ones among them, per member. */
export interface BadRates {
    add(serverId: string, bad: boolean, now: number): void;
    /** The rate at members other than `serverId`, drawn towards the usual rate while samples are few. */
    others(serverId: string): number;
    remove(serverId: string): void;
}

const decayMs = 10_000;
const priorSamples = 50;
const maxRate = 0.9;

interface Count {
    bad: number;
    total: number;
    at: number;
}

/** Creates the rates of one pool; `usualRate` holds while nothing else is known. */
export const createBadRates = (usualRate: number, isTrusted: (serverId: string) => boolean): BadRates => {
    const counts = new Map<string, Count>();

    const add = (serverId: string, bad: boolean, now: number): void => {
        const count = counts.get(serverId) ?? { bad: 0, total: 0, at: now };
        counts.set(serverId, count);
        const kept = Math.exp(-(now - count.at) / decayMs);
        count.bad = count.bad * kept + (bad ? 1 : 0);
        count.total = count.total * kept + 1;
        count.at = now;
    };

    const others = (serverId: string): number => {
        let bad = usualRate * priorSamples;
        let total = priorSamples;
        for (const [id, count] of counts) {
            if (id !== serverId && isTrusted(id)) {
                bad += count.bad;
                total += count.total;
            }
        }
        return Math.min(maxRate, Math.max(usualRate, bad / total));
    };

    return { add, others, remove: serverId => counts.delete(serverId) };
};
