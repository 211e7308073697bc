/** How often something goes wrong at a pool's other members. */

/** Decaying counts of samples, bad ones among them, per member. */
export interface BadRates {
    add(serverId: string, bad: boolean, now: number): void;
    /** The rate at members other than `serverId`, drawn towards the usual rate while samples are few. */
    others(serverId: string): number;
    remove(serverId: string): void;
}

/** Options of {@link createBadRates}. */
export interface BadRatesCfg {
    /** The rate while nothing else is known, and the least one. */
    usualRate: number;
    /** How many samples that rate weighs. */
    priorSamples: number;
    /** After this time a sample weighs 1/e, in milliseconds. */
    decayMs: number;
    isTrusted: (serverId: string) => boolean;
}

const maxRate = 0.9;

interface Count {
    bad: number;
    total: number;
    at: number;
}

/** Creates the rates of one pool and one kind of request. */
export const createBadRates = (cfg: BadRatesCfg): BadRates => {
    const { usualRate, priorSamples, decayMs, isTrusted } = cfg;
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
