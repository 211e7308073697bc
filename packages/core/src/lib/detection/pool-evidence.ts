/** Turns the attempts of one pool into evidence against its members, each compared with the others. */
import { AttemptClass } from "../outcome.js";
import { latenessLevels, levelsPassed } from "./attempts.js";
import type { Attempt } from "./attempts.js";
import { comparableMembers, contrast, failureExcess, isSameDistance } from "./contrast.js";
import { createLatencyReferences } from "./latency-reference.js";
import type { LatencyReference } from "./latency-reference.js";
import { Test, tests } from "./member-evidence.js";
import type { DetectionPolicy } from "./policy.js";
import { createPoolMember, refreshMember } from "./pool-member.js";
import type { MemberTraits, PoolMember } from "./pool-member.js";
import { createRateBook } from "./rate-book.js";
import type { RateTest } from "./rate-book.js";
import { bernoulliEvidence, shiftEvidence } from "./sequential-test.js";

/** Options of {@link createPoolEvidence}. */
export interface PoolEvidenceCfg {
    policy: DetectionPolicy;
    /** Whether a member's requests may serve as a reference for others; a suspected member's may not. */
    isTrusted: (serverId: string) => boolean;
}

/** The evidence against the members of one pool. Times are in milliseconds. */
export interface PoolEvidence {
    join(serverId: string, traits: MemberTraits): void;
    remove(serverId: string): void;
    /** Forgets what was held against a member. */
    reset(serverId: string): void;
    started(attemptId: string, serverId: string, requestKind: string, now: number): void;
    /** Returns the member that the attempt ran at. */
    finished(attemptId: string, outcome: AttemptClass, now: number): string | undefined;
    /** Counts attempts that hang. */
    tick(now: number): void;
    /** The evidence against a member beyond that against the pool, in thresholds. */
    score(serverId: string, now: number): number;
    /** Whether anything speaks against a member; otherwise its score is 0. */
    isDoubted(serverId: string): boolean;
    /** Whether much speaks against a member while the others get too few requests to compare it with. */
    needsContrast(serverId: string, now: number): boolean;
    /** Whether many requests went well at the member of late. */
    isKnownWell(serverId: string, now: number): boolean;
    /** Whether requests went well at the member after `since`. */
    answeredSince(serverId: string, since: number): boolean;
    /** The usual time of a round trip to a member, in milliseconds. */
    roundTripMs(serverId: string): number;
    members(): string[];
}

/** A whole answer of a member. */
interface WellAnswer {
    serverId: string;
    startedAt: number;
    /** Whether its time was about as usual. */
    isTimely: boolean;
}

const illNextLevelRate = 0.8;
const illAddedRates = { [Test.Failure]: 0.25, [Test.Tail]: 0.4 };
const maxIllRate = 0.95;
const brokenAnswerEvidence = 1;
const minTailLog = Math.log(2.5);
const coldAddedLog = Math.log(4);
const wellLog = Math.log(2);
const rememberedAnswers = 64;
const minServiceMs = 1;
// Below this share of a threshold a contrast is not worth its time.
const scoreFloor = 0.25;
const wellAttempts = 8;

const failures: ReadonlySet<AttemptClass> = new Set([
    AttemptClass.ServerError,
    AttemptClass.NotSent,
    AttemptClass.Cut,
    AttemptClass.Corrupt,
    AttemptClass.Timeout,
]);

const illRateOf = (test: RateTest, wellRate: number): number => Math.min(maxIllRate, wellRate + illAddedRates[test]);

/** Creates the evidence of one pool. */
export const createPoolEvidence = (cfg: PoolEvidenceCfg): PoolEvidence => {
    const { policy } = cfg;
    const members = new Map<string, PoolMember>();
    const attempts = new Map<string, Attempt>();
    const isComparable = (a: string, b: string): boolean => {
        const [first, second] = [members.get(a), members.get(b)];
        return first !== undefined && second !== undefined && isSameDistance(first, second);
    };
    const references = createLatencyReferences({ isTrusted: cfg.isTrusted, isComparable });
    const rates = createRateBook(cfg.isTrusted);
    const wellAnswers: WellAnswer[] = [];

    const join = (serverId: string, traits: MemberTraits): void => {
        const member = members.get(serverId) ?? createPoolMember(traits, policy);
        members.set(serverId, Object.assign(member, traits));
    };

    const remove = (serverId: string): void => {
        members.delete(serverId);
        references.remove(serverId);
        rates.remove(serverId);
        for (const [attemptId, attempt] of attempts) {
            if (attempt.serverId === serverId) {
                attempts.delete(attemptId);
            }
        }
    };

    const started = (attemptId: string, serverId: string, requestKind: string, now: number): void => {
        if (!members.has(serverId)) {
            join(serverId, { cold: false, roundTripMs: 0 });
        }
        const member = members.get(serverId)!;
        refreshMember(member, now);
        member.recent += 1;
        attempts.set(attemptId, { serverId, requestKind, startedAt: now, levelsCounted: 0, cold: member.cold });
    };

    const logTime = (attempt: Attempt, member: PoolMember, now: number): number =>
        Math.log(Math.max(minServiceMs, now - attempt.startedAt - member.roundTripMs));

    const tailLog = (reference: LatencyReference, attempt: Attempt): number => {
        const relative = reference.center + Math.max(minTailLog, policy.tailScales * reference.scale);
        const absolute = Math.log(Math.exp(reference.center) + policy.pauseMs);
        return Math.max(relative, absolute) + (attempt.cold ? coldAddedLog : 0);
    };

    const countRate = (test: RateTest, bad: boolean, attempt: Attempt, member: PoolMember, now: number): void => {
        const rate = rates.of(test, attempt.requestKind);
        const wellRate = rate.others(attempt.serverId);
        member.evidence.add(test, bernoulliEvidence(bad, wellRate, illRateOf(test, wellRate)), attempt.startedAt, now);
        rate.add(attempt.serverId, bad, now);
    };

    const countLevel = (level: number, passed: boolean, attempt: Attempt, member: PoolMember, now: number): void => {
        const rate = rates.ofLevel(level);
        const wellRate = rate.others(attempt.serverId);
        const illRate = Math.max(illNextLevelRate, wellRate);
        member.evidence.add(Test.Tail, bernoulliEvidence(passed, wellRate, illRate), attempt.startedAt, now);
        rate.add(attempt.serverId, passed, now);
    };

    const countLateness = (attempt: Attempt, member: PoolMember, passed: number, now: number): void => {
        if (attempt.levelsCounted === 0 && passed > 0) {
            countRate(Test.Tail, true, attempt, member, now);
        }
        for (let level = Math.max(1, attempt.levelsCounted); level < passed; level += 1) {
            countLevel(level, true, attempt, member, now);
        }
        attempt.levelsCounted = Math.max(attempt.levelsCounted, passed);
    };

    const checkLateness = (attempt: Attempt, member: PoolMember, now: number): LatencyReference | undefined => {
        const reference = references.others(attempt.serverId, attempt.requestKind, now);
        if (reference !== undefined) {
            countLateness(attempt, member, levelsPassed(logTime(attempt, member, now), tailLog(reference, attempt)), now);
        }
        return reference;
    };

    const noteAnswer = (answer: WellAnswer): void => {
        wellAnswers.push(answer);
        wellAnswers.splice(0, wellAnswers.length - rememberedAnswers);
    };

    const countSuccess = (attempt: Attempt, member: PoolMember, reference: LatencyReference | undefined, now: number): void => {
        const logMs = logTime(attempt, member, now);
        if (!attempt.cold) {
            references.add(attempt.serverId, attempt.requestKind, logMs, now);
        }
        refreshMember(member, now);
        member.ended += 1;
        countRate(Test.Failure, false, attempt, member, now);
        if (reference === undefined) {
            // Without anything to compare its time with, it still shows that the member does not fail.
            noteAnswer({ serverId: attempt.serverId, startedAt: attempt.startedAt, isTimely: false });
            return;
        }
        if (attempt.levelsCounted === 0) {
            countRate(Test.Tail, false, attempt, member, now);
        }
        else if (attempt.levelsCounted < latenessLevels) {
            countLevel(attempt.levelsCounted, false, attempt, member, now);
        }
        const ratio = logMs - reference.center;
        if (!attempt.cold) {
            member.evidence.add(Test.Shift, shiftEvidence(ratio, reference.scale), attempt.startedAt, now);
        }
        if (ratio < wellLog) {
            refreshMember(member, now);
            member.well += 1;
            member.lastWellAt = now;
        }
        noteAnswer({ serverId: attempt.serverId, startedAt: attempt.startedAt, isTimely: ratio < wellLog });
    };

    const countFailure = (attempt: Attempt, member: PoolMember, outcome: AttemptClass, now: number): void => {
        refreshMember(member, now);
        member.ended += 1;
        member.failed += 1;
        countRate(Test.Failure, true, attempt, member, now);
        if (outcome === AttemptClass.Cut || outcome === AttemptClass.Corrupt) {
            member.evidence.add(Test.Failure, brokenAnswerEvidence, attempt.startedAt, now);
        }
    };

    const finished = (attemptId: string, outcome: AttemptClass, now: number): string | undefined => {
        const attempt = attempts.get(attemptId);
        const member = attempt && members.get(attempt.serverId);
        attempts.delete(attemptId);
        if (attempt === undefined || member === undefined) {
            return undefined;
        }
        const reference = outcome === AttemptClass.Shed ? undefined : checkLateness(attempt, member, now);
        if (outcome === AttemptClass.Success) {
            countSuccess(attempt, member, reference, now);
        }
        // A caller with little time left lets attempts time out early; that is no illness of the backend server.
        const early = outcome === AttemptClass.Timeout && reference !== undefined && attempt.levelsCounted === 0;
        if (failures.has(outcome) && !early) {
            countFailure(attempt, member, outcome, now);
        }
        return attempt.serverId;
    };

    const tick = (now: number): void => {
        for (const attempt of attempts.values()) {
            const member = members.get(attempt.serverId);
            if (member !== undefined) {
                checkLateness(attempt, member, now);
            }
        }
    };

    // Whether others fail is told by any whole answer; whether they are slow, only by one that was in time.
    const peersAnswered = (serverId: string, since: number, test: Test): boolean => {
        const isFit = (answer: WellAnswer): boolean =>
            answer.serverId !== serverId && answer.startedAt > since && (answer.isTimely || test === Test.Failure);
        const count = wellAnswers.filter(isFit).length;
        return count >= policy.peerAnswers;
    };

    // Slowness must be contrasted with what others answered after the slow attempt began; failures can follow each
    // other so fast that only the run as a whole can be contrasted.
    const contrastFrom = (member: PoolMember, test: Test): number | undefined =>
        test === Test.Failure ? member.evidence.firstBadStartedAt(test) : member.evidence.lastBadStartedAt(test);

    const comparable = (serverId: string, member: PoolMember, now: number): PoolMember[] => {
        const others = [...members].filter(([id]) => id !== serverId && cfg.isTrusted(id)).map(([, other]) => other);
        [member, ...others].forEach(each => refreshMember(each, now));
        return comparableMembers(member, others);
    };

    const testScore = (serverId: string, member: PoolMember, test: Test, now: number): number => {
        const since = contrastFrom(member, test);
        if (since === undefined || !peersAnswered(serverId, since, test)) {
            return 0;
        }
        const others = comparable(serverId, member, now);
        if (others.length === 0 || (test === Test.Failure && !(failureExcess(member, others) >= policy.failureScales))) {
            return 0;
        }
        return contrast(member, others, test, now);
    };

    const score = (serverId: string, now: number): number => {
        const member = members.get(serverId);
        if (member === undefined) {
            return 0;
        }
        const doubtful = tests.filter(test => member.evidence.value(test) >= scoreFloor);
        return Math.max(0, ...doubtful.map(test => testScore(serverId, member, test, now)));
    };

    const needsContrast = (serverId: string, now: number): boolean => {
        const member = members.get(serverId);
        const suspicious = member !== undefined && tests.some(test => member.evidence.value(test) >= 1);
        return suspicious && comparable(serverId, member, now).length === 0;
    };

    const isDoubted = (serverId: string): boolean => {
        const evidence = members.get(serverId)?.evidence;
        return evidence !== undefined && tests.some(test => evidence.value(test) >= scoreFloor);
    };

    return {
        join,
        remove,
        reset: serverId => members.get(serverId)?.evidence.reset(),
        started,
        finished,
        tick,
        score,
        isDoubted,
        needsContrast,
        isKnownWell: (serverId, now) => {
            const member = members.get(serverId);
            if (member !== undefined) {
                refreshMember(member, now);
            }
            return member !== undefined && member.well >= wellAttempts;
        },
        answeredSince: (serverId, since) => (members.get(serverId)?.lastWellAt ?? 0) > since,
        roundTripMs: serverId => members.get(serverId)?.roundTripMs ?? 0,
        members: () => [...members.keys()],
    };
};
