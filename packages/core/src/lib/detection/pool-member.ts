/** One member of a pool, as its evidence sees it. */
import { createMemberEvidence } from "./member-evidence.js";
import type { MemberEvidence } from "./member-evidence.js";
import type { DetectionPolicy } from "./policy.js";

/** What is known of a member besides its requests. */
export interface MemberTraits {
    /** Whether it has just started and is expected to be slow. */
    cold: boolean;
    /** The usual time of a round trip to it, in milliseconds; it is taken off each time. */
    roundTripMs: number;
}

/** A member with what its requests show; the counts of late decay. */
export interface PoolMember extends MemberTraits {
    evidence: MemberEvidence;
    lastWellAt: number;
    /** Attempts started of late. */
    recent: number;
    /** Attempts answered well of late. */
    well: number;
    /** Attempts that ended of late, well or failed. */
    ended: number;
    /** Attempts that failed of late. */
    failed: number;
    /** When the counts decayed last. */
    refreshedAt: number;
}

const recentMs = 2_000;

/** Creates a member without requests. */
export const createPoolMember = (traits: MemberTraits, policy: DetectionPolicy): PoolMember => ({
    ...traits,
    evidence: createMemberEvidence(policy),
    lastWellAt: 0,
    recent: 0,
    well: 0,
    ended: 0,
    failed: 0,
    refreshedAt: 0,
});

/** Lets the counts of a member decay up to `now`. */
export const refreshMember = (member: PoolMember, now: number): void => {
    const kept = Math.exp((member.refreshedAt - now) / recentMs);
    member.recent *= kept;
    member.well *= kept;
    member.ended *= kept;
    member.failed *= kept;
    member.refreshedAt = now;
};
