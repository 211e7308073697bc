/** Compares the evidence against one member with that against the others. */
import type { MemberEvidence, Test } from "./member-evidence.js";

/** What a comparison needs to know of a member. */
export interface Contrasted {
    evidence: MemberEvidence;
    /** The usual time of a round trip to it, in milliseconds. */
    roundTripMs: number;
    /** Attempts sent to it of late. */
    recent: number;
    /** Attempts that ended of late, well or failed. */
    ended: number;
    /** Attempts that failed of late. */
    failed: number;
}

const farRoundTripMs = 10;

/** Whether requests to both take about the same way: both within the region, or both outside it. */
export const isSameDistance = (a: { roundTripMs: number; }, b: { roundTripMs: number; }): boolean =>
    (a.roundTripMs >= farRoundTripMs) === (b.roundTripMs >= farRoundTripMs);

// What was hardly used proves nothing.
const comparableShare = 0.25;
const comparableAttempts = 8;
// Evidence against the others counts threefold, as chance spreads trouble of the whole pool unevenly.
const othersFactor = 3;

const weightedMedian = (items: { value: number; weight: number; }[]): number => {
    const sorted = items.sort((a, b) => a.value - b.value);
    let left = sorted.reduce((sum, item) => sum + item.weight, 0) / 2;
    for (const { value, weight } of sorted) {
        left -= weight;
        if (left <= 0) {
            return value;
        }
    }
    return 0;
};

/** The members that `member` may be compared with; empty while the others got too few requests. */
export const comparableMembers = <M extends Contrasted>(member: M, others: M[]): M[] => {
    const near = others.filter(other => isSameDistance(member, other));
    const candidates = near.length > 0 ? near : others;
    const attempts = candidates.reduce((sum, other) => sum + other.recent, 0);
    return attempts >= Math.min(comparableAttempts, comparableShare * member.recent) ? candidates : [];
};

/** The evidence against a member beyond that against the others, in thresholds; members that are used more weigh more. */
export const contrast = (member: Contrasted, others: Contrasted[], test: Test, now: number): number => {
    const items = others.map(other => ({ value: other.evidence.peak(test, now), weight: other.recent }));
    return member.evidence.value(test) - othersFactor * weightedMedian(items);
};

// Keeps the others' rate above 0 and below 1 while few attempts have ended.
const priorFailed = 0.5;
const priorEnded = 10;

/** How many standard deviations the member's failures of late lie above what the others' rate makes likely. */
export const failureExcess = (member: Contrasted, others: Contrasted[]): number => {
    const failed = others.reduce((sum, other) => sum + other.failed, priorFailed);
    const ended = others.reduce((sum, other) => sum + other.ended, priorEnded);
    const rate = failed / ended;
    return (member.failed - member.ended * rate) / Math.sqrt(member.ended * rate * (1 - rate));
};
