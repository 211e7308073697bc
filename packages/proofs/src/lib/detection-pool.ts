/** Simulates a small pool: hosts that pick members and detect failures, and backend servers that answer. */
import { AttemptClass, computeEffectiveView, createRandom, DetectorActionKind, DetectorEventKind } from "@cassiapick/core";
import type { DetectionMode, Detector, DetectorAction, EffectiveView, Random } from "@cassiapick/core";
import { faultHandlers, PoolCondition, poolConditionHandlers } from "./detection-faults.js";
import type { Fault, ServeResult } from "./detection-faults.js";
import { createTimeline } from "./timeline.js";

/** Options of {@link runFakePool}. */
export interface FakePoolCfg {
    seed: number;
    mode: DetectionMode;
    createDetector: (mode: DetectionMode, random: Random) => Detector;
    /** The number of regions; each has one owner host. */
    regions: number;
    membersPerRegion: number;
    /** Offered load as a fraction of the slots; above 1 is overload. */
    utilization: number;
    condition: PoolCondition;
    /** The fault of the first member; it begins after the warm-up. */
    fault?: Fault;
    warmUpMs: number;
    /** Duration of the run after the warm-up. */
    runMs: number;
    /** Ends the run this long after the owner host of the first member suspects it. */
    stopAfterMs?: number;
}

/** A host began to suspect a member. */
export interface ObservedEjection {
    hostIndex: number;
    memberIndex: number;
    atMs: number;
}

/** The events and counts of a run. Times are in milliseconds since the fault, or the end of the warm-up. */
export interface FakePoolResult {
    ejections: ObservedEjection[];
    /** Attempts sent to the first member after the fault. */
    sends: { hostIndex: number; atMs: number; }[];
    requestCount: number;
    refusedCount: number;
}

const slotsPerMember = 3;
const floorShare = 0.5;
const requestKinds = ["kind-0", "kind-1", "kind-2"];
const cumulativeKindShares = [0.4, 0.8, 1];
const medianMsByKind: Record<string, number> = { "kind-0": 20, "kind-1": 40, "kind-2": 80 };
const serviceTimeSigma = 0.4;
/** Mean time of an answer: the medians weighted by the fractions of their kinds, times the mean of the log-normal factor. */
const meanServiceMs = (0.4 * 20 + 0.4 * 40 + 0.2 * 80) * Math.exp(serviceTimeSigma * serviceTimeSigma / 2);
const baselineErrorRate = 0.002;
const attemptTimeoutMs = 2_000;
const tickMs = 10;
const queueLimit = 60;
const localRoundTripMs = 2;
const remoteRoundTripMs = 40;
const medianProbeMs = 25;
const reportDelayMs = 20;
const restartIntervalMs = 20_000;
const coldDurationMs = 5_000;
const runStepMs = 100;

interface FakeMember {
    id: string;
    index: number;
    region: number;
    busySlots: number;
    incarnation: number;
    cold: boolean;
}

interface FakeHost {
    index: number;
    detector: Detector;
    inFlight: number[];
    queuedKinds: string[];
    view: EffectiveView;
    suspected: Set<string>;
}

/** Runs one simulation and returns what it observed. */
export const runFakePool = (cfg: FakePoolCfg): FakePoolResult => {
    const random = createRandom(cfg.seed);
    const timeline = createTimeline();
    const result: FakePoolResult = { ejections: [], sends: [], requestCount: 0, refusedCount: 0 };
    const members: FakeMember[] = Array.from({ length: cfg.regions * cfg.membersPerRegion }, (_, index) => ({
        id: `server-${index}`,
        index,
        region: Math.floor(index / cfg.membersPerRegion),
        busySlots: 0,
        incarnation: 1,
        cold: false,
    }));
    const membersById = new Map(members.map(member => [member.id, member]));
    const hosts: FakeHost[] = Array.from({ length: cfg.regions }, (_, index) => ({
        index,
        detector: cfg.createDetector(cfg.mode, createRandom(cfg.seed * 31 + index)),
        inFlight: members.map(() => 0),
        queuedKinds: [],
        view: { healthy: members.map(member => member.id), keptByFloor: [], ejected: [] },
        suspected: new Set(),
    }));

    const drawGaussian = (): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

    const roundTripMsOf = (host: FakeHost, member: FakeMember): number =>
        host.index === member.region ? localRoundTripMs : remoteRoundTripMs;

    const serve = (host: FakeHost, member: FakeMember, requestKind: string, medianMs: number): ServeResult => {
        const outcome = random.next() < baselineErrorRate ? AttemptClass.ServerError : AttemptClass.Success;
        const baselineResult: ServeResult = { durationMs: medianMs * Math.exp(serviceTimeSigma * drawGaussian()), outcome };
        const now = timeline.now();
        const context = { healthyResult: baselineResult, memberIndex: member.index, cold: member.cold, requestKind, now, random };
        const healthyResult = poolConditionHandlers[cfg.condition](context);
        if (cfg.fault === undefined || member.index !== 0 || now < cfg.warmUpMs) {
            return healthyResult;
        }
        return faultHandlers[cfg.fault]({
            healthyResult,
            hostIndex: host.index,
            requestKind,
            sinceFaultMs: now - cfg.warmUpMs,
            random,
        });
    };

    const refreshView = (host: FakeHost): void => {
        const suspicions = host.detector.suspicions();
        host.view = computeEffectiveView({
            members: members.map(member => ({ serverId: member.id, slots: slotsPerMember, cold: member.cold })),
            suspicions,
            floorSlots: Math.ceil(members.length * slotsPerMember * floorShare),
        });
        const previouslySuspected = host.suspected;
        host.suspected = new Set(suspicions.map(suspicion => suspicion.serverId));
        for (const id of host.suspected) {
            if (!previouslySuspected.has(id)) {
                result.ejections.push({
                    hostIndex: host.index,
                    memberIndex: membersById.get(id)!.index,
                    atMs: timeline.now() - cfg.warmUpMs,
                });
            }
        }
    };

    const sendProbe = (host: FakeHost, member: FakeMember): void => {
        const serveResult = serve(host, member, "probe", medianProbeMs);
        const durationMs = Math.min(attemptTimeoutMs, serveResult.durationMs + roundTripMsOf(host, member));
        const outcome = durationMs >= attemptTimeoutMs ? AttemptClass.Timeout : serveResult.outcome;
        timeline.at(timeline.now() + durationMs, () =>
            handleActions(
                host,
                host.detector.step(
                    { kind: DetectorEventKind.ProbeFinished, serverId: member.id, outcome, durationMs },
                    timeline.now(),
                ),
            ));
    };

    const sendReport = (from: FakeHost, serverId: string, evidence: number): void => {
        for (const host of hosts.filter(other => other !== from)) {
            timeline.at(timeline.now() + reportDelayMs, () =>
                handleActions(
                    host,
                    host.detector.step(
                        { kind: DetectorEventKind.RemoteEvidence, host: `host-${from.index}`, serverId, evidence },
                        timeline.now(),
                    ),
                ));
        }
    };

    const handleActions = (host: FakeHost, actions: DetectorAction[]): void => {
        for (const action of actions) {
            if (action.kind === DetectorActionKind.Probe) {
                sendProbe(host, membersById.get(action.serverId)!);
            }
            if (action.kind === DetectorActionKind.Report) {
                sendReport(host, action.serverId, action.evidence);
            }
        }
        if (actions.some(action => action.kind === DetectorActionKind.Changed)) {
            refreshView(host);
            processQueue(host);
        }
    };

    const pickMember = (host: FakeHost): FakeMember | undefined => {
        const keptByFloor = new Set(host.view.keptByFloor);
        const ejected = new Set(host.view.ejected);
        let best: FakeMember | undefined;
        let bestCost = Infinity;
        for (const member of members) {
            const weight = host.detector.weight(member.id) * (member.cold ? 0.5 : 1);
            const inFlight = host.inFlight[member.index]!;
            if (ejected.has(member.id) || inFlight >= Math.max(1, Math.round(slotsPerMember * weight))) {
                continue;
            }
            // The own region comes first; members of low weight and those kept by the floor come after all others.
            const distanceCost = host.index === member.region ? 0 : 10;
            const lastResortCost = (weight < 0.3 ? 50 : 0) + (keptByFloor.has(member.id) ? 100 : 0);
            const cost = lastResortCost + distanceCost + inFlight / slotsPerMember + random.next() / 10;
            if (cost < bestCost) {
                best = member;
                bestCost = cost;
            }
        }
        return best;
    };

    const finishAttempt = (
        host: FakeHost,
        member: FakeMember,
        attemptId: string,
        outcome: AttemptClass,
        holdsSlot: boolean,
    ): void => {
        host.inFlight[member.index]! -= 1;
        member.busySlots -= holdsSlot ? 1 : 0;
        handleActions(host, host.detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome }, timeline.now()));
        processQueue(host);
    };

    const sendAttempt = (host: FakeHost, member: FakeMember, requestKind: string): void => {
        const now = timeline.now();
        const attemptId = `${result.requestCount += 1}`;
        if (member.index === 0 && now >= cfg.warmUpMs) {
            result.sends.push({ hostIndex: host.index, atMs: now - cfg.warmUpMs });
        }
        host.inFlight[member.index]! += 1;
        const holdsSlot = member.busySlots < slotsPerMember;
        const shedResult: ServeResult = { durationMs: 0, outcome: AttemptClass.Shed };
        const serveResult = holdsSlot ? serve(host, member, requestKind, medianMsByKind[requestKind]!) : shedResult;
        member.busySlots += holdsSlot ? 1 : 0;
        const durationMs = Math.min(attemptTimeoutMs, serveResult.durationMs + roundTripMsOf(host, member));
        const outcome = durationMs >= attemptTimeoutMs ? AttemptClass.Timeout : serveResult.outcome;
        timeline.at(now + durationMs, () => finishAttempt(host, member, attemptId, outcome, holdsSlot));
        handleActions(
            host,
            host.detector.step({ kind: DetectorEventKind.Started, attemptId, serverId: member.id, requestKind }, now),
        );
    };

    const processQueue = (host: FakeHost): void => {
        while (host.queuedKinds.length > 0) {
            const member = pickMember(host);
            if (member === undefined) {
                return;
            }
            sendAttempt(host, member, host.queuedKinds.shift()!);
        }
    };

    const requestsPerMs = cfg.utilization * cfg.membersPerRegion * slotsPerMember / meanServiceMs;

    const handleArrival = (host: FakeHost): void => {
        if (host.queuedKinds.length < queueLimit) {
            const draw = random.next();
            host.queuedKinds.push(requestKinds[cumulativeKindShares.findIndex(share => draw < share)]!);
            processQueue(host);
        }
        else {
            result.refusedCount += 1;
        }
        timeline.at(timeline.now() - Math.log(1 - random.next()) / requestsPerMs, () => handleArrival(host));
    };

    const tick = (host: FakeHost): void => {
        handleActions(host, host.detector.step({ kind: DetectorEventKind.Tick }, timeline.now()));
        timeline.at(timeline.now() + tickMs, () => tick(host));
    };

    const announceMember = (member: FakeMember): void => {
        for (const host of hosts) {
            const memberDetails = {
                incarnation: member.incarnation,
                cold: member.cold,
                roundTripMs: roundTripMsOf(host, member),
            };
            handleActions(
                host,
                host.detector.step({ kind: DetectorEventKind.Joined, serverId: member.id, ...memberDetails }, timeline.now()),
            );
            refreshView(host);
        }
    };

    const restartRandomMember = (): void => {
        const member = members[random.below(members.length)]!;
        member.incarnation += 1;
        member.cold = true;
        announceMember(member);
        timeline.at(timeline.now() + coldDurationMs, () => {
            member.cold = false;
            announceMember(member);
        });
        timeline.at(timeline.now() + restartIntervalMs, restartRandomMember);
    };

    members.forEach(announceMember);
    hosts.forEach(host => {
        timeline.at(0, () => handleArrival(host));
        timeline.at(random.next() * tickMs, () => tick(host));
    });
    if (cfg.condition === PoolCondition.ColdStart) {
        timeline.at(cfg.warmUpMs, restartRandomMember);
    }
    const stopAfterMs = cfg.stopAfterMs ?? Infinity;
    const isStopDue = (): boolean => {
        const ownerEjection = result.ejections.find(ejection =>
            ejection.atMs >= 0 && ejection.hostIndex === 0 && ejection.memberIndex === 0
        );
        return ownerEjection !== undefined && timeline.now() >= cfg.warmUpMs + ownerEjection.atMs + stopAfterMs;
    };
    const endAt = cfg.warmUpMs + cfg.runMs;
    while (timeline.now() < endAt && !isStopDue()) {
        timeline.run(Math.min(endAt, timeline.now() + runStepMs));
    }
    return result;
};
