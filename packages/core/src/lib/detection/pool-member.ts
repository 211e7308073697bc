/** The state of one pool member from which evidence is derived. */
import { createMemberEvidence } from "./member-evidence.js";
import type { MemberEvidence } from "./member-evidence.js";
import type { DetectionPolicy } from "./policy.js";

/** Properties of a member that do not come from its requests. */
export interface MemberTraits {
    /** Whether it has just started, so that slow answers are expected. */
    cold: boolean;
    /** The typical round-trip time to it, in milliseconds; it is subtracted from each duration. */
    roundTripMs: number;
}

/** A member with its evidence and with exponentially decaying counts of recent attempts. */
export interface PoolMember extends MemberTraits {
    evidence: MemberEvidence;
    lastTimelySuccessAt: number;
    /** Attempts recently started. */
    recentAttempts: number;
    /** Attempts that recently succeeded in a typical time. */
    recentTimelySuccesses: number;
    /** Attempts that recently succeeded or failed. */
    recentlyEnded: number;
    /** Attempts that recently failed. */
    recentlyFailed: number;
    /** The time up to which the counts have decayed. */
    decayedAt: number;
}

const countDecayMs = 2_000;

/** Creates a member without any requests. */
export const createPoolMember = (traits: MemberTraits, policy: DetectionPolicy): PoolMember => ({
    ...traits,
    evidence: createMemberEvidence(policy),
    lastTimelySuccessAt: 0,
    recentAttempts: 0,
    recentTimelySuccesses: 0,
    recentlyEnded: 0,
    recentlyFailed: 0,
    decayedAt: 0,
});

/** Applies the decay up to `now` to the counts of a member. */
export const decayCounts = (member: PoolMember, now: number): void => {
    const decay = Math.exp((member.decayedAt - now) / countDecayMs);
    member.recentAttempts *= decay;
    member.recentTimelySuccesses *= decay;
    member.recentlyEnded *= decay;
    member.recentlyFailed *= decay;
    member.decayedAt = now;
};
