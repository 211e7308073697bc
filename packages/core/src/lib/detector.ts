/** Detects the unhealthy members of one pool from the requests that they serve. */
import { createEjectionTracker, EjectionState } from "./detection/ejection-tracker.js";
import type { EjectionTracker } from "./detection/ejection-tracker.js";
import { detectionPolicies } from "./detection/policy.js";
import { createPoolEvidence } from "./detection/pool-evidence.js";
import { createRemoteReportTable } from "./detection/remote-report-table.js";
import type { Suspicion } from "./effective-view.js";
import { AttemptClass } from "./outcome.js";
import type { Random } from "./random.js";
import type { DetectionMode } from "./tables.js";

export enum DetectorEventKind {
    Started = "started",
    Finished = "finished",
    Joined = "joined",
    Left = "left",
    ProbeFinished = "probe-finished",
    RemoteEvidence = "remote-evidence",
    Tick = "tick",
}

export type DetectorEvent =
    /** A request was sent to a member. */
    | { kind: DetectorEventKind.Started; attemptId: string; serverId: string; requestKind: string; }
    /** An attempt ended; its duration counts from its Started event. */
    | { kind: DetectorEventKind.Finished; attemptId: string; outcome: AttemptClass; }
    /** A member announced itself; sent again when its incarnation or one of the optional fields changes. */
    | {
        kind: DetectorEventKind.Joined;
        serverId: string;
        incarnation: number;
        /** Whether it has just started, so that slow answers are expected. */
        cold?: boolean;
        /** The typical round-trip time to it, in milliseconds. */
        roundTripMs?: number;
    }
    | { kind: DetectorEventKind.Left; serverId: string; }
    | { kind: DetectorEventKind.ProbeFinished; serverId: string; outcome: AttemptClass; durationMs: number; }
    /** Another host's own evidence against a member, in thresholds: 1 or more is a suspicion, 0 means that its requests succeed. */
    | { kind: DetectorEventKind.RemoteEvidence; host: string; serverId: string; evidence: number; }
    | { kind: DetectorEventKind.Tick; };

export enum DetectorActionKind {
    /** The set of suspicions changed; `suspicions` returns the new one. */
    Changed = "changed",
    /** Send one idempotent probe to an ejected member. */
    Probe = "probe",
    /** Send this host's own evidence to the other hosts of the pool, as a remote-evidence event. */
    Report = "report",
}

export type DetectorAction =
    | { kind: DetectorActionKind.Changed; }
    | { kind: DetectorActionKind.Probe; serverId: string; }
    | { kind: DetectorActionKind.Report; serverId: string; evidence: number; };

/** Options of {@link createDetector}. */
export interface DetectorCfg {
    mode: DetectionMode;
    /** Adds jitter to the probe times of several hosts; without it there is none. */
    random?: Random;
}

/** The detector of one pool. Times are in milliseconds. */
export interface Detector {
    step(event: DetectorEvent, now: number): DetectorAction[];
    /** The members that are suspected now, in no particular order. */
    suspicions(): Suspicion[];
    /** The share of a member's slots that the scheduler should use, above 0 and up to 1: below 1 during probation. */
    weight(serverId: string): number;
}

interface MemberState {
    incarnation: number;
    ejection: EjectionTracker;
    isPresent: boolean;
    leftAt: number;
    suspectedByFleet: boolean;
    /** The evidence last reported to other hosts. */
    lastReportedEvidence: number;
}

const scanIntervalMs = 5;
const typicalProbeMs = 25;
const slowProbeFactor = 3;
const departedMemberRetentionMs = 1_800_000;
const reportedEvidenceStep = 0.5;
const unconfirmedWeight = 0.2;
const remoteEvidenceShare = 0.5;
const minOwnEvidence = 0.25;
const recentSuccessMs = 5_000;
const minSuspectingHosts = 2;

/** Creates the detector of one pool. */
export const createDetector = (cfg: DetectorCfg): Detector => {
    const policy = detectionPolicies[cfg.mode];
    const memberStates = new Map<string, MemberState>();
    const remoteReports = createRemoteReportTable();
    const jitter = (): number => cfg.random?.next() ?? 0;
    let clock = 0;
    let lastScanAt = -Infinity;

    const isSuspected = (serverId: string): boolean => {
        const state = memberStates.get(serverId);
        return state !== undefined && (state.suspectedByFleet || state.ejection.state(clock) === EjectionState.Suspected);
    };

    const pool = createPoolEvidence({ policy, isTrusted: serverId => !isSuspected(serverId) });

    const getOrCreateState = (serverId: string): MemberState => {
        const state = memberStates.get(serverId) ?? {
            incarnation: -1,
            ejection: createEjectionTracker(policy, jitter),
            isPresent: true,
            leftAt: 0,
            suspectedByFleet: false,
            lastReportedEvidence: 0,
        };
        memberStates.set(serverId, state);
        return state;
    };

    const reportIfChanged = (serverId: string, state: MemberState, evidence: number): DetectorAction[] => {
        const roundedEvidence = Math.floor(evidence / reportedEvidenceStep) * reportedEvidenceStep;
        if (roundedEvidence === state.lastReportedEvidence) {
            return [];
        }
        state.lastReportedEvidence = roundedEvidence;
        return [{ kind: DetectorActionKind.Report, serverId, evidence: roundedEvidence }];
    };

    // A single host's suspicion may come from its own bad link, so hosts without evidence follow only several hosts.
    const isSuspectedByFleet = (serverId: string, ownSuspicion: boolean): boolean => {
        const summary = remoteReports.summary(serverId, clock);
        const isHealthyHere = !ownSuspicion
            && pool.hasTimelySuccessSince(serverId, Math.max(summary.suspectedSince, clock - recentSuccessMs));
        const suspectingHosts = summary.suspectingHosts + (ownSuspicion ? 1 : 0);
        return suspectingHosts >= minSuspectingHosts && suspectingHosts > summary.healthyHosts + (isHealthyHere ? 1 : 0);
    };

    const combinedEvidence = (serverId: string): number => {
        const ownEvidence = pool.score(serverId, clock);
        const remoteEvidence = Math.min(1, remoteReports.summary(serverId, clock).maxEvidence);
        return ownEvidence >= minOwnEvidence ? ownEvidence + remoteEvidenceShare * remoteEvidence : ownEvidence;
    };

    const assess = (serverId: string): DetectorAction[] => {
        const state = getOrCreateState(serverId);
        const wasSuspectedByFleet = state.suspectedByFleet;
        const previousState = state.ejection.state(clock);
        const changed = state.ejection.observe(combinedEvidence(serverId), clock);
        const currentState = state.ejection.state(clock);
        state.suspectedByFleet = isSuspectedByFleet(serverId, currentState === EjectionState.Suspected);
        const actions: DetectorAction[] = [];
        if (changed || state.suspectedByFleet !== wasSuspectedByFleet || previousState !== currentState) {
            actions.push({ kind: DetectorActionKind.Changed });
        }
        const ownEvidence = currentState === EjectionState.Suspected ? Math.max(1, state.ejection.rank()) : 0;
        return [...actions, ...reportIfChanged(serverId, state, ownEvidence)];
    };

    const needsAssessment = (serverId: string): boolean =>
        pool.hasEvidence(serverId) || remoteReports.has(serverId) || isSuspected(serverId);

    const assessAll = (): DetectorAction[] => pool.members().filter(needsAssessment).flatMap(assess);

    const scan = (): DetectorAction[] => {
        if (clock - lastScanAt < scanIntervalMs) {
            return [];
        }
        lastScanAt = clock;
        pool.tick(clock);
        return assessAll();
    };

    const evictDepartedMembers = (): void => {
        for (const [serverId, state] of memberStates) {
            if (!state.isPresent && clock - state.leftAt > departedMemberRetentionMs) {
                memberStates.delete(serverId);
            }
        }
    };

    const handleJoined = (event: Extract<DetectorEvent, { kind: DetectorEventKind.Joined; }>): DetectorAction[] => {
        const { serverId, incarnation } = event;
        const state = getOrCreateState(serverId);
        const wasSuspected = isSuspected(serverId);
        state.isPresent = true;
        pool.add(serverId, { cold: event.cold ?? false, roundTripMs: event.roundTripMs ?? 0 });
        if (incarnation <= state.incarnation) {
            return wasSuspected ? [{ kind: DetectorActionKind.Changed }] : [];
        }
        if (state.incarnation >= 0) {
            pool.reset(serverId);
            remoteReports.remove(serverId);
            state.suspectedByFleet = false;
            state.ejection.resetAfterRestart(clock);
        }
        state.incarnation = incarnation;
        return wasSuspected ? [{ kind: DetectorActionKind.Changed }, ...reportIfChanged(serverId, state, 0)] : [];
    };

    const handleLeft = (serverId: string): DetectorAction[] => {
        const wasSuspected = isSuspected(serverId);
        const state = getOrCreateState(serverId);
        state.isPresent = false;
        state.leftAt = clock;
        pool.remove(serverId);
        evictDepartedMembers();
        return wasSuspected ? [{ kind: DetectorActionKind.Changed }] : [];
    };

    // A host reports a member as healthy only when another host suspects it.
    const reportDisagreement = (serverId: string, evidence: number): DetectorAction[] => {
        const isHealthyHere = !isSuspected(serverId) && pool.hasTimelySuccessSince(serverId, clock - recentSuccessMs);
        return evidence >= 1 && isHealthyHere ? [{ kind: DetectorActionKind.Report, serverId, evidence: 0 }] : [];
    };

    const handleProbeFinished = (event: Extract<DetectorEvent, { kind: DetectorEventKind.ProbeFinished; }>): DetectorAction[] => {
        const state = getOrCreateState(event.serverId);
        const serviceMs = event.durationMs - pool.roundTripMs(event.serverId);
        const isFast = serviceMs <= typicalProbeMs * slowProbeFactor;
        if (!state.ejection.recordProbe(event.outcome === AttemptClass.Success && isFast, clock)) {
            return [];
        }
        pool.reset(event.serverId);
        return [{ kind: DetectorActionKind.Changed }, ...reportIfChanged(event.serverId, state, 0)];
    };

    const dueProbes = (): DetectorAction[] =>
        [...memberStates].filter(([, state]) => state.isPresent && state.ejection.takeDueProbe(clock))
            .map(([serverId]) => ({ kind: DetectorActionKind.Probe, serverId }));

    type Handlers = { [K in DetectorEventKind]: (event: Extract<DetectorEvent, { kind: K; }>) => DetectorAction[]; };
    const handlers: Handlers = {
        [DetectorEventKind.Started]: event => {
            pool.started(event.attemptId, event.serverId, event.requestKind, clock);
            return scan();
        },
        [DetectorEventKind.Finished]: event => {
            const serverId = pool.finished(event.attemptId, event.outcome, clock);
            const assessed = serverId !== undefined && needsAssessment(serverId) ? assess(serverId) : [];
            return [...scan(), ...assessed];
        },
        [DetectorEventKind.Joined]: handleJoined,
        [DetectorEventKind.Left]: event => handleLeft(event.serverId),
        [DetectorEventKind.ProbeFinished]: handleProbeFinished,
        [DetectorEventKind.RemoteEvidence]: event => {
            remoteReports.add(event, clock);
            const isPresent = memberStates.get(event.serverId)?.isPresent === true;
            return isPresent ? [...assess(event.serverId), ...reportDisagreement(event.serverId, event.evidence)] : [];
        },
        [DetectorEventKind.Tick]: () => [...scan(), ...dueProbes()],
    };

    const step = (event: DetectorEvent, now: number): DetectorAction[] => {
        clock = Math.max(clock, now);
        // The table's type ties each handler to the event of its kind.
        const handler = handlers[event.kind] as (event: DetectorEvent) => DetectorAction[];
        return handler(event);
    };

    const suspicions = (): Suspicion[] =>
        [...memberStates].filter(([serverId, state]) => state.isPresent && isSuspected(serverId))
            .map(([serverId, state]) => ({
                serverId,
                evidence: Math.max(1, state.ejection.rank()),
                confirmedByFleet: state.suspectedByFleet,
            }));

    const weight = (serverId: string): number => {
        const isSuspectedElsewhere = remoteReports.summary(serverId, clock).suspectingHosts > 0
            && !pool.isRecentlyHealthy(serverId, clock);
        const ownWeight = memberStates.get(serverId)?.ejection.weight(clock) ?? 1;
        const isUnconfirmed = isSuspectedElsewhere || pool.lacksComparablePeers(serverId, clock);
        return isUnconfirmed ? Math.min(ownWeight, unconfirmedWeight) : ownWeight;
    };

    return { step, suspicions, weight };
};
