/** Chooses which part of a quota each state host should hand out. */

/** What the leader knows of one state host and one quota. */
export interface QuotaNeed {
    /** Requests a second. */
    demandPerS: number;
    isShort: boolean;
    /** Its present share, from 0 to 1. */
    share: number;
    /** Whether the host lends tokens to the others. */
    isLender: boolean;
}

/** Result of {@link quotaTargets}. */
export interface QuotaTargets {
    /** Whether all hosts together want more than the quota. */
    isSaturated: boolean;
    /** The shares, in the order of the needs; `undefined` if all may stay as they are. */
    shares: number[] | undefined;
}

/**
 * Added to each demand, in requests a second. A host counts few requests of a small workspace, and shares that follow such
 * counts move to and fro and lose tokens.
 */
const assumedPerS = 0.4;
/** Parts of what nobody wants: one divided evenly, for requests that start anywhere, and one for the host that lends. */
const spareParts = { even: 0.25, lender: 0.4 };
/** Shares change if a host that is short should have this many times its share. */
const minGrowth = 1.1;
/** A host is short for long only if it needs more than this part of its share; otherwise it borrows. */
const fullPart = 0.9;
/** Then, shares stay as they are that would change less. */
const minChange = 0.1;
/** A host that holds less than this part of an even share has just come. */
const newcomerPart = 0.1;

/** Computes new shares if the present ones don't fit. */
export const quotaTargets = (ratePerS: number, needs: readonly QuotaNeed[]): QuotaTargets => {
    const total = needs.reduce((sum, { demandPerS }) => sum + demandPerS, 0);
    const isSaturated = total >= ratePerS;
    const even = 1 / needs.length;
    const spare = isSaturated ? 0 : 1 - total / ratePerS;
    const lent = needs.some(({ isLender }) => isLender) ? spareParts.lender * spare : 0;
    const evenPart = spareParts.even * spare;
    const weights = needs.map(({ demandPerS }) => demandPerS + assumedPerS);
    const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
    const shares = weights.map((weight, index) =>
        even * evenPart + (1 - evenPart - lent) * weight / weightSum + (needs[index]!.isLender ? lent : 0)
    );
    const isNeeded = needs.some(({ demandPerS, isShort, share }, index) =>
        share < newcomerPart * even
        || (isShort && demandPerS > fullPart * share * ratePerS && shares[index]! > share * minGrowth)
    );
    const settled = shares.map((next, index) => {
        const { share } = needs[index]!;
        return Math.abs(next - share) < minChange * share ? share : next;
    });
    return { isSaturated, shares: isNeeded ? settled : undefined };
};
