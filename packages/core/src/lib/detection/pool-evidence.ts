/** Derives evidence against the members of one pool from their attempts, each member compared with its peers. */
import { AttemptClass } from "../outcome.js";
import { levelsPassed, maxLatenessLevel } from "./attempt-lateness.js";
import type { Attempt } from "./attempt-lateness.js";
import { createLatencyTracker } from "./latency-tracker.js";
import type { LatencyReference } from "./latency-tracker.js";
import { DetectionTest, detectionTests } from "./member-evidence.js";
import { comparablePeers, excessEvidence, failureZScore, isSameDistance } from "./peer-comparison.js";
import { createPeerRateRegistry } from "./peer-rate-registry.js";
import type { RateTest } from "./peer-rate-registry.js";
import type { DetectionPolicy } from "./policy.js";
import { createPoolMember, decayCounts } from "./pool-member.js";
import type { MemberTraits, PoolMember } from "./pool-member.js";
import { bernoulliEvidence, shiftEvidence } from "./sequential-test.js";

/** Options of {@link createPoolEvidence}. */
export interface PoolEvidenceCfg {
    policy: DetectionPolicy;
    /** Whether a member's requests may count as a reference for others; those of a suspected member may not. */
    isTrusted: (serverId: string) => boolean;
}

/** The evidence against the members of one pool. Times are in milliseconds. */
export interface PoolEvidence {
    /** Adds a member, or updates the traits of one. */
    add(serverId: string, traits: MemberTraits): void;
    remove(serverId: string): void;
    /** Discards the evidence against a member. */
    reset(serverId: string): void;
    started(attemptId: string, serverId: string, requestKind: string, now: number): void;
    /** Records the end of an attempt and returns its member; `undefined` when the attempt or its member is unknown. */
    finished(attemptId: string, attemptClass: AttemptClass, now: number): string | undefined;
    /** Checks the attempts in flight for lateness, so that hanging ones count before they end. */
    tick(now: number): void;
    /** The evidence against a member in excess of its peers', in thresholds. */
    score(serverId: string, now: number): number;
    /** Whether there is enough evidence against a member to compare it with its peers; otherwise its score is 0. */
    hasEvidence(serverId: string): boolean;
    /** Whether the evidence against a member reaches a threshold while its peers have too few attempts for a comparison. */
    lacksComparablePeers(serverId: string, now: number): boolean;
    /** Whether the member recently served enough successful answers in a typical time. */
    isRecentlyHealthy(serverId: string, now: number): boolean;
    /** Whether a successful answer in a typical time came from the member after `since`. */
    hasTimelySuccessSince(serverId: string, since: number): boolean;
    /** The typical round-trip time to a member, in milliseconds. */
    roundTripMs(serverId: string): number;
    members(): string[];
}

/** A complete answer that is not a server error; the answers of peers are needed to suspect a member. */
interface SuccessfulAnswer {
    serverId: string;
    startedAt: number;
    /** Whether it took less than twice the typical time; `false` if the typical time was unknown. */
    isTimely: boolean;
}

/** Fraction of the attempts at one level of lateness that exceed the next one at an unhealthy member. */
const unhealthyNextLevelRate = 0.8;
/** Added to the healthy rate of bad samples to get that of an unhealthy member. */
const unhealthyAddedRates = { [DetectionTest.Failure]: 0.25, [DetectionTest.Tail]: 0.4 };
const maxUnhealthyRate = 0.95;
/** Additional evidence of a cut or corrupt answer, in nats. */
const brokenAnswerEvidence = 1;
/** The tail starts at least at this ratio to the typical time (natural logarithm). */
const minLogTailRatio = Math.log(2.5);
/** The tail of a cold member starts later by this factor (natural logarithm). */
const logColdFactor = Math.log(4);
/** An answer below this ratio to the typical time is timely (natural logarithm). */
const logTimelyRatio = Math.log(2);
/** Number of the latest successful answers kept. */
const maxSuccessfulAnswers = 64;
/** Shorter service times count as this, because the logarithm needs a positive number. */
const minServiceMs = 1;
// Below this share of a threshold the cost of a comparison with the peers is not worthwhile.
const minScoredEvidence = 0.25;
/** Recent timely successes, a decaying count, from which a member is recently healthy. */
const minTimelySuccesses = 8;

const failureClasses: ReadonlySet<AttemptClass> = new Set([
    AttemptClass.ServerError,
    AttemptClass.NotSent,
    AttemptClass.Cut,
    AttemptClass.Corrupt,
    AttemptClass.Timeout,
]);

const unhealthyRateOf = (test: RateTest, healthyRate: number): number =>
    Math.min(maxUnhealthyRate, healthyRate + unhealthyAddedRates[test]);

/** Creates the evidence of one pool. */
export const createPoolEvidence = (cfg: PoolEvidenceCfg): PoolEvidence => {
    const { policy } = cfg;
    const members = new Map<string, PoolMember>();
    const attempts = new Map<string, Attempt>();
    const isComparable = (a: string, b: string): boolean => {
        const [firstMember, secondMember] = [members.get(a), members.get(b)];
        return firstMember !== undefined && secondMember !== undefined && isSameDistance(firstMember, secondMember);
    };
    const latencies = createLatencyTracker({ isTrusted: cfg.isTrusted, isComparable });
    const rates = createPeerRateRegistry(cfg.isTrusted);
    const successfulAnswers: SuccessfulAnswer[] = [];

    const add = (serverId: string, traits: MemberTraits): void => {
        const member = members.get(serverId) ?? createPoolMember(traits, policy);
        members.set(serverId, Object.assign(member, traits));
    };

    const remove = (serverId: string): void => {
        members.delete(serverId);
        latencies.remove(serverId);
        rates.remove(serverId);
        for (const [attemptId, attempt] of attempts) {
            if (attempt.serverId === serverId) {
                attempts.delete(attemptId);
            }
        }
    };

    const started = (attemptId: string, serverId: string, requestKind: string, now: number): void => {
        if (!members.has(serverId)) {
            add(serverId, { cold: false, roundTripMs: 0 });
        }
        const member = members.get(serverId)!;
        decayCounts(member, now);
        member.recentAttempts += 1;
        attempts.set(attemptId, { serverId, requestKind, startedAt: now, levelsCounted: 0, cold: member.cold });
    };

    const logServiceTime = (attempt: Attempt, member: PoolMember, now: number): number =>
        Math.log(Math.max(minServiceMs, now - attempt.startedAt - member.roundTripMs));

    const logTailStart = (reference: LatencyReference, attempt: Attempt): number => {
        const relative = reference.center + Math.max(minLogTailRatio, policy.tailStdDevs * reference.scale);
        const absolute = Math.log(Math.exp(reference.center) + policy.toleratedPauseMs);
        return Math.max(relative, absolute) + (attempt.cold ? logColdFactor : 0);
    };

    const addRateSample = (test: RateTest, bad: boolean, attempt: Attempt, member: PoolMember, now: number): void => {
        const rate = rates.rateOf(test, attempt.requestKind);
        const healthyRate = rate.peerRate(attempt.serverId);
        member.evidence.add(
            test,
            bernoulliEvidence(bad, healthyRate, unhealthyRateOf(test, healthyRate)),
            attempt.startedAt,
            now,
        );
        rate.add(attempt.serverId, bad, now);
    };

    const addLevelSample = (level: number, passedNext: boolean, attempt: Attempt, member: PoolMember, now: number): void => {
        const rate = rates.levelRateOf(level);
        const healthyRate = rate.peerRate(attempt.serverId);
        const unhealthyRate = Math.max(unhealthyNextLevelRate, healthyRate);
        member.evidence.add(
            DetectionTest.Tail,
            bernoulliEvidence(passedNext, healthyRate, unhealthyRate),
            attempt.startedAt,
            now,
        );
        rate.add(attempt.serverId, passedNext, now);
    };

    const addLateness = (attempt: Attempt, member: PoolMember, passedLevels: number, now: number): void => {
        if (attempt.levelsCounted === 0 && passedLevels > 0) {
            addRateSample(DetectionTest.Tail, true, attempt, member, now);
        }
        for (let level = Math.max(1, attempt.levelsCounted); level < passedLevels; level += 1) {
            addLevelSample(level, true, attempt, member, now);
        }
        attempt.levelsCounted = Math.max(attempt.levelsCounted, passedLevels);
    };

    const checkLateness = (attempt: Attempt, member: PoolMember, now: number): LatencyReference | undefined => {
        const reference = latencies.peerReference(attempt.serverId, attempt.requestKind, now);
        if (reference !== undefined) {
            addLateness(
                attempt,
                member,
                levelsPassed(logServiceTime(attempt, member, now), logTailStart(reference, attempt)),
                now,
            );
        }
        return reference;
    };

    const recordAnswer = (answer: SuccessfulAnswer): void => {
        successfulAnswers.push(answer);
        successfulAnswers.splice(0, successfulAnswers.length - maxSuccessfulAnswers);
    };

    const recordSuccess = (attempt: Attempt, member: PoolMember, reference: LatencyReference | undefined, now: number): void => {
        const logMs = logServiceTime(attempt, member, now);
        if (!attempt.cold) {
            latencies.add(attempt.serverId, attempt.requestKind, logMs, now);
        }
        decayCounts(member, now);
        member.recentlyEnded += 1;
        addRateSample(DetectionTest.Failure, false, attempt, member, now);
        if (reference === undefined) {
            // Without a reference for its time, the answer still counts for the failure test.
            recordAnswer({ serverId: attempt.serverId, startedAt: attempt.startedAt, isTimely: false });
            return;
        }
        if (attempt.levelsCounted === 0) {
            addRateSample(DetectionTest.Tail, false, attempt, member, now);
        }
        else if (attempt.levelsCounted < maxLatenessLevel) {
            addLevelSample(attempt.levelsCounted, false, attempt, member, now);
        }
        const logRatio = logMs - reference.center;
        if (!attempt.cold) {
            member.evidence.add(DetectionTest.Shift, shiftEvidence(logRatio, reference.scale), attempt.startedAt, now);
        }
        if (logRatio < logTimelyRatio) {
            decayCounts(member, now);
            member.recentTimelySuccesses += 1;
            member.lastTimelySuccessAt = now;
        }
        recordAnswer({ serverId: attempt.serverId, startedAt: attempt.startedAt, isTimely: logRatio < logTimelyRatio });
    };

    const recordFailure = (attempt: Attempt, member: PoolMember, attemptClass: AttemptClass, now: number): void => {
        decayCounts(member, now);
        member.recentlyEnded += 1;
        member.recentlyFailed += 1;
        addRateSample(DetectionTest.Failure, true, attempt, member, now);
        if (attemptClass === AttemptClass.Cut || attemptClass === AttemptClass.Corrupt) {
            member.evidence.add(DetectionTest.Failure, brokenAnswerEvidence, attempt.startedAt, now);
        }
    };

    const finished = (attemptId: string, attemptClass: AttemptClass, now: number): string | undefined => {
        const attempt = attempts.get(attemptId);
        const member = attempt && members.get(attempt.serverId);
        attempts.delete(attemptId);
        if (attempt === undefined || member === undefined) {
            return undefined;
        }
        const reference = attemptClass === AttemptClass.Shed ? undefined : checkLateness(attempt, member, now);
        if (attemptClass === AttemptClass.Success) {
            recordSuccess(attempt, member, reference, now);
        }
        // An attempt of a caller with little time left times out early, which is no fault of the backend server.
        const isEarlyTimeout = attemptClass === AttemptClass.Timeout && reference !== undefined && attempt.levelsCounted === 0;
        if (failureClasses.has(attemptClass) && !isEarlyTimeout) {
            recordFailure(attempt, member, attemptClass, now);
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

    // Any complete answer shows that a peer does not fail; only a timely one shows that it is not slow.
    const hasEnoughPeerAnswers = (serverId: string, since: number, test: DetectionTest): boolean => {
        const isPeerAnswer = (answer: SuccessfulAnswer): boolean =>
            answer.serverId !== serverId && answer.startedAt > since && (answer.isTimely || test === DetectionTest.Failure);
        const count = successfulAnswers.filter(isPeerAnswer).length;
        return count >= policy.minPeerAnswers;
    };

    // Only the peers' answers to requests that started after the returned time count. For slowness it is the start of the
    // last slow attempt. Failures can follow each other so fast that no peer answers after the start of the last one, so for
    // them it is the start of the first failed attempt since the evidence last left zero.
    const comparisonStart = (member: PoolMember, test: DetectionTest): number | undefined =>
        test === DetectionTest.Failure
            ? member.evidence.firstBadAttemptStartedAt(test)
            : member.evidence.lastBadAttemptStartedAt(test);

    const findComparablePeers = (serverId: string, member: PoolMember, now: number): PoolMember[] => {
        const peers = [...members].filter(([id]) => id !== serverId && cfg.isTrusted(id)).map(([, peer]) => peer);
        [member, ...peers].forEach(each => decayCounts(each, now));
        return comparablePeers(member, peers);
    };

    const testScore = (serverId: string, member: PoolMember, test: DetectionTest, now: number): number => {
        const since = comparisonStart(member, test);
        if (since === undefined || !hasEnoughPeerAnswers(serverId, since, test)) {
            return 0;
        }
        const peers = findComparablePeers(serverId, member, now);
        if (peers.length === 0 || (test === DetectionTest.Failure && !(failureZScore(member, peers) >= policy.failureStdDevs))) {
            return 0;
        }
        return excessEvidence(member, peers, test, now);
    };

    const score = (serverId: string, now: number): number => {
        const member = members.get(serverId);
        if (member === undefined) {
            return 0;
        }
        const testsWithEvidence = detectionTests.filter(test => member.evidence.value(test) >= minScoredEvidence);
        return Math.max(0, ...testsWithEvidence.map(test => testScore(serverId, member, test, now)));
    };

    const lacksComparablePeers = (serverId: string, now: number): boolean => {
        const member = members.get(serverId);
        const exceedsThreshold = member !== undefined && detectionTests.some(test => member.evidence.value(test) >= 1);
        return exceedsThreshold && findComparablePeers(serverId, member, now).length === 0;
    };

    const hasEvidence = (serverId: string): boolean => {
        const evidence = members.get(serverId)?.evidence;
        return evidence !== undefined && detectionTests.some(test => evidence.value(test) >= minScoredEvidence);
    };

    return {
        add,
        remove,
        reset: serverId => members.get(serverId)?.evidence.reset(),
        started,
        finished,
        tick,
        score,
        hasEvidence,
        lacksComparablePeers,
        isRecentlyHealthy: (serverId, now) => {
            const member = members.get(serverId);
            if (member !== undefined) {
                decayCounts(member, now);
            }
            return member !== undefined && member.recentTimelySuccesses >= minTimelySuccesses;
        },
        hasTimelySuccessSince: (serverId, since) => (members.get(serverId)?.lastTimelySuccessAt ?? 0) > since,
        roundTripMs: serverId => members.get(serverId)?.roundTripMs ?? 0,
        members: () => [...members.keys()],
    };
};
