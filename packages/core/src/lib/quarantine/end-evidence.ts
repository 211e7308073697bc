/**
 * How much the end of a server speaks for the guilt of a request that was running on it.
 *
 * A server that ends by itself ends under the requests that happen to run there. So each end is weighed against the rate at
 * which servers of the service end without this request, and against the time that the request had been running: a likelihood
 * ratio, in nats.
 */
import type { EndedServer } from "./request-evidence.js";

/** A server that ended under a request. Times are in milliseconds of the host's clock. */
export interface ServerEnd {
    server: EndedServer;
    /** When the connection broke. */
    endedAt: number;
    /** How long the request had been at the server. */
    runMs: number;
}

/** An end with what is needed to weigh it. */
export interface WeighedEnd extends ServerEnd {
    /** Rate at which servers of the service ended at about the same time without this request, per second. */
    otherEndsPerS: number;
}

/** Times around an end in which other ends count for the base rate, in milliseconds: short for bursts, long for steady trouble. */
export const baseRateWindowsMs = [1000, 10_000] as const;
/** Ends of servers that are assumed in calm times, per server and second. */
const calmEndsPerServerS = 0.001;
/** A shorter time at a server is measured too coarsely, in milliseconds. */
const minRunMs = 20;
/** Servers that end within this time of each other may have a cause in common, such as a lost rack: the longest way to a host, in milliseconds. */
const commonCauseMs = 25;
/** Share of its evidence that an end has at an address where a server has ended under the request before: that place may be at fault. */
const sameAddressShare = 0.5;
const msPerSecond = 1000;

/** Evidence of one end, in nats: the logarithm of how much likelier it is if the request ends every server that runs it. */
export const endEvidence = ({ runMs, otherEndsPerS }: WeighedEnd, serverCount: number): number => {
    const expectedEnds = (calmEndsPerServerS + otherEndsPerS / Math.max(1, serverCount)) * Math.max(runMs, minRunMs)
        / msPerSecond;
    return -Math.log(1 - Math.exp(-expectedEnds));
};

/** As many servers that end under one request at the same moment more likely have a cause in common than ended one by one. */
const commonCauseEnds = 3;

/** Groups ends by moment: each group begins with an end and holds those that follow it closely. */
const groupByMoment = (ends: readonly WeighedEnd[]): WeighedEnd[][] => {
    const groups: WeighedEnd[][] = [];
    for (const end of [...ends].sort((a, b) => a.endedAt - b.endedAt)) {
        const group = groups.at(-1);
        if (group !== undefined && end.endedAt - group[0]!.endedAt <= commonCauseMs) {
            group.push(end);
        }
        else {
            groups.push([end]);
        }
    }
    return groups;
};

/**
 * Evidence of all ends under a request. Of several ends at the same moment only the strongest one counts if servers end without the
 * request too, or if they are as many as in the loss of a rack.
 */
export const totalEvidence = (ends: readonly WeighedEnd[], serverCount: number): number => {
    const addresses = new Set<string>();
    const evidenceOf = (end: WeighedEnd): number => {
        const share = addresses.has(end.server.address) ? sameAddressShare : 1;
        addresses.add(end.server.address);
        return share * endEvidence(end, serverCount);
    };
    let total = 0;
    for (const group of groupByMoment(ends)) {
        const evidence = group.map(evidenceOf);
        const hasCommonCause = group.length >= commonCauseEnds || group.some(({ otherEndsPerS }) => otherEndsPerS > 0);
        total += hasCommonCause ? Math.max(...evidence) : evidence.reduce((sum, value) => sum + value, 0);
    }
    return total;
};
