/** Estimates the rate of bad samples at the other members of a pool. */

/** Exponentially decaying counts of samples and of bad samples, per member. */
export interface PeerRateTracker {
    add(serverId: string, bad: boolean, now: number): void;
    /** The rate at members other than `serverId`, shrunk towards the baseline rate while samples are few. */
    peerRate(serverId: string): number;
    remove(serverId: string): void;
}

/** Options of {@link createPeerRateTracker}. */
export interface PeerRateCfg {
    /** The rate without any samples, and the lowest rate. */
    baselineRate: number;
    /** The weight of the baseline rate, as a number of samples. */
    priorSamples: number;
    /** Time constant of the decay: after it a sample weighs 1/e, in milliseconds. */
    decayMs: number;
    /** Whether a member's samples may count for others. */
    isTrusted: (serverId: string) => boolean;
}

const maxRate = 0.9;

interface SampleCounts {
    bad: number;
    total: number;
    updatedAt: number;
}

/** Creates the rates of one pool for one kind of sample. */
export const createPeerRateTracker = (cfg: PeerRateCfg): PeerRateTracker => {
    const { baselineRate, priorSamples, decayMs, isTrusted } = cfg;
    const countsByServer = new Map<string, SampleCounts>();

    const add = (serverId: string, bad: boolean, now: number): void => {
        const sampleCounts = countsByServer.get(serverId) ?? { bad: 0, total: 0, updatedAt: now };
        countsByServer.set(serverId, sampleCounts);
        const decay = Math.exp(-(now - sampleCounts.updatedAt) / decayMs);
        sampleCounts.bad = sampleCounts.bad * decay + (bad ? 1 : 0);
        sampleCounts.total = sampleCounts.total * decay + 1;
        sampleCounts.updatedAt = now;
    };

    const peerRate = (serverId: string): number => {
        let bad = baselineRate * priorSamples;
        let total = priorSamples;
        for (const [id, sampleCounts] of countsByServer) {
            if (id !== serverId && isTrusted(id)) {
                bad += sampleCounts.bad;
                total += sampleCounts.total;
            }
        }
        return Math.min(maxRate, Math.max(baselineRate, bad / total));
    };

    return { add, peerRate, remove: serverId => countsByServer.delete(serverId) };
};
