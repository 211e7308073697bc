/** Compares the evidence against one member with the evidence against its peers. */
import type { DetectionTest, MemberEvidence } from "./member-evidence.js";

/** The state of a member that a comparison reads; counts of recent attempts decay. */
export interface ComparedMember {
    evidence: MemberEvidence;
    /** The typical round-trip time to it, in milliseconds. */
    roundTripMs: number;
    /** Attempts recently started. */
    recentAttempts: number;
    /** Attempts that recently succeeded or failed. */
    recentlyEnded: number;
    /** Attempts that recently failed. */
    recentlyFailed: number;
}

const remoteRoundTripMs = 10;

/** Whether both are at about the same network distance by round-trip time: both within the region, or both outside it. */
export const isSameDistance = (a: { roundTripMs: number; }, b: { roundTripMs: number; }): boolean =>
    (a.roundTripMs >= remoteRoundTripMs) === (b.roundTripMs >= remoteRoundTripMs);

// Peers with fewer attempts than this give too few samples for a comparison.
const minComparableShare = 0.25;
const minComparableAttempts = 8;
// Evidence against the peers counts threefold, as a degradation of the whole pool reaches its members unevenly by chance.
const peerEvidenceFactor = 3;

const weightedMedian = (items: { value: number; weight: number; }[]): number => {
    const sorted = items.sort((a, b) => a.value - b.value);
    let remainingWeight = sorted.reduce((sum, item) => sum + item.weight, 0) / 2;
    for (const { value, weight } of sorted) {
        remainingWeight -= weight;
        if (remainingWeight <= 0) {
            return value;
        }
    }
    return 0;
};

/** Returns the peers that `member` may be compared with; none while they have too few recent attempts. */
export const comparablePeers = <M extends ComparedMember>(member: M, peers: M[]): M[] => {
    const sameDistance = peers.filter(peer => isSameDistance(member, peer));
    const candidates = sameDistance.length > 0 ? sameDistance : peers;
    const attempts = candidates.reduce((sum, peer) => sum + peer.recentAttempts, 0);
    return attempts >= Math.min(minComparableAttempts, minComparableShare * member.recentAttempts) ? candidates : [];
};

/** Returns the evidence against a member in excess of its peers', in thresholds; peers weigh by their recent attempts. */
export const excessEvidence = (member: ComparedMember, peers: ComparedMember[], test: DetectionTest, now: number): number => {
    const items = peers.map(peer => ({ value: peer.evidence.recentPeak(test, now), weight: peer.recentAttempts }));
    return member.evidence.value(test) - peerEvidenceFactor * weightedMedian(items);
};

// Keeps the peers' failure rate above 0 and below 1 while few attempts have ended.
const priorFailed = 0.5;
const priorEnded = 10;

/** Returns by how many standard deviations the member's recent failures exceed the number expected from the peers' failure rate. */
export const failureZScore = (member: ComparedMember, peers: ComparedMember[]): number => {
    const failed = peers.reduce((sum, peer) => sum + peer.recentlyFailed, priorFailed);
    const ended = peers.reduce((sum, peer) => sum + peer.recentlyEnded, priorEnded);
    const rate = failed / ended;
    return (member.recentlyFailed - member.recentlyEnded * rate) / Math.sqrt(member.recentlyEnded * rate * (1 - rate));
};
