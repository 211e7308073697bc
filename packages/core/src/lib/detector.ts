/** Finds ill members of one pool from the requests that they serve. */
import { createAdmission, Standing } from "./detection/admission.js";
import type { Admission } from "./detection/admission.js";
import { policies } from "./detection/policy.js";
import { createPoolEvidence } from "./detection/pool-evidence.js";
import { createRemoteReports } from "./detection/remote-evidence.js";
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
    /** An attempt ended; its time is known from its start. */
    | { kind: DetectorEventKind.Finished; attemptId: string; outcome: AttemptClass; }
    /** A member announced itself; repeated when its incarnation or one of the optional traits changes. */
    | {
        kind: DetectorEventKind.Joined;
        serverId: string;
        incarnation: number;
        /** Whether it has just started and is expected to be slow. */
        cold?: boolean;
        /** The usual time of a round trip to it, in milliseconds. */
        roundTripMs?: number;
    }
    | { kind: DetectorEventKind.Left; serverId: string; }
    | { kind: DetectorEventKind.ProbeFinished; serverId: string; outcome: AttemptClass; durationMs: number; }
    /** Another host's own evidence about a member, in thresholds: 1 or more is a suspicion, 0 says that all goes well. */
    | { kind: DetectorEventKind.RemoteEvidence; host: string; serverId: string; evidence: number; }
    | { kind: DetectorEventKind.Tick; };

export enum DetectorActionKind {
    /** The set of suspicions changed; read it with `suspicions`. */
    Changed = "changed",
    /** Send one idempotent probe to an ejected member. */
    Probe = "probe",
    /** Tell the other hosts of the pool this host's own evidence, as a remote-evidence event. */
    Report = "report",
}

export type DetectorAction =
    | { kind: DetectorActionKind.Changed; }
    | { kind: DetectorActionKind.Probe; serverId: string; }
    | { kind: DetectorActionKind.Report; serverId: string; evidence: number; };

/** Options of {@link createDetector}. */
export interface DetectorCfg {
    mode: DetectionMode;
    /** Spreads the probes of several hosts; without it they are not spread. */
    random?: Random;
}

/** The detector of one pool. Times are in milliseconds. */
export interface Detector {
    step(event: DetectorEvent, now: number): DetectorAction[];
    /** The members that seem ill now, in no particular order. */
    suspicions(): Suspicion[];
    /** The share of a member's slots that picking should use, above 0 and up to 1: less during probation. */
    weight(serverId: string): number;
}

interface Known {
    incarnation: number;
    admission: Admission;
    present: boolean;
    leftAt: number;
    fleet: boolean;
    /** The evidence that was last reported to other hosts. */
    reported: number;
}

const scanIntervalMs = 5;
const usualProbeMs = 25;
const slowProbeFactor = 3;
const memoryMs = 1_800_000;
const reportStep = 0.5;
const doubtedWeight = 0.2;
const remoteShare = 0.5;
const ownDoubt = 0.25;
const freshAnswerMs = 5_000;
const minFleetHosts = 2;

/** Creates the detector of one pool. */
export const createDetector = (cfg: DetectorCfg): Detector => {
    const policy = policies[cfg.mode];
    const known = new Map<string, Known>();
    const remote = createRemoteReports();
    const jitter = (): number => cfg.random?.next() ?? 0;
    let clock = 0;
    let scannedAt = -Infinity;

    const isSuspected = (serverId: string): boolean => {
        const found = known.get(serverId);
        return found !== undefined && (found.fleet || found.admission.standing(clock) === Standing.Suspected);
    };

    const pool = createPoolEvidence({ policy, isTrusted: serverId => !isSuspected(serverId) });

    const recall = (serverId: string): Known => {
        const found = known.get(serverId) ?? {
            incarnation: -1,
            admission: createAdmission(policy, jitter),
            present: true,
            leftAt: 0,
            fleet: false,
            reported: 0,
        };
        known.set(serverId, found);
        return found;
    };

    const reportOf = (serverId: string, found: Known, evidence: number): DetectorAction[] => {
        const rounded = Math.floor(evidence / reportStep) * reportStep;
        if (rounded === found.reported) {
            return [];
        }
        found.reported = rounded;
        return [{ kind: DetectorActionKind.Report, serverId, evidence: rounded }];
    };

    // Several hosts together hold more than one bad link: only then does a suspicion count on hosts that see nothing.
    const isFleetIll = (serverId: string, ownSuspicion: boolean): boolean => {
        const opinions = remote.opinions(serverId, clock);
        const ownWell = !ownSuspicion && pool.answeredSince(serverId, Math.max(opinions.illSince, clock - freshAnswerMs));
        const ill = opinions.ill + (ownSuspicion ? 1 : 0);
        return ill >= minFleetHosts && ill > opinions.well + (ownWell ? 1 : 0);
    };

    const evidenceOf = (serverId: string): number => {
        const own = pool.score(serverId, clock);
        const greatest = Math.min(1, remote.opinions(serverId, clock).greatest);
        return own >= ownDoubt ? own + remoteShare * greatest : own;
    };

    const assess = (serverId: string): DetectorAction[] => {
        const found = recall(serverId);
        const wasFleet = found.fleet;
        const before = found.admission.standing(clock);
        const changed = found.admission.observe(evidenceOf(serverId), clock);
        const standing = found.admission.standing(clock);
        found.fleet = isFleetIll(serverId, standing === Standing.Suspected);
        const actions: DetectorAction[] = [];
        if (changed || found.fleet !== wasFleet || before !== standing) {
            actions.push({ kind: DetectorActionKind.Changed });
        }
        const reported = standing === Standing.Suspected ? Math.max(1, found.admission.evidence()) : 0;
        return [...actions, ...reportOf(serverId, found, reported)];
    };

    const needsAssessment = (serverId: string): boolean =>
        pool.isDoubted(serverId) || remote.has(serverId) || isSuspected(serverId);

    const assessAll = (): DetectorAction[] => pool.members().filter(needsAssessment).flatMap(assess);

    const scan = (): DetectorAction[] => {
        if (clock - scannedAt < scanIntervalMs) {
            return [];
        }
        scannedAt = clock;
        pool.tick(clock);
        return assessAll();
    };

    const forgetOld = (): void => {
        for (const [serverId, found] of known) {
            if (!found.present && clock - found.leftAt > memoryMs) {
                known.delete(serverId);
            }
        }
    };

    const joined = (event: Extract<DetectorEvent, { kind: DetectorEventKind.Joined; }>): DetectorAction[] => {
        const { serverId, incarnation } = event;
        const found = recall(serverId);
        const wasSuspected = isSuspected(serverId);
        found.present = true;
        pool.join(serverId, { cold: event.cold ?? false, roundTripMs: event.roundTripMs ?? 0 });
        if (incarnation <= found.incarnation) {
            return wasSuspected ? [{ kind: DetectorActionKind.Changed }] : [];
        }
        if (found.incarnation >= 0) {
            pool.reset(serverId);
            remote.remove(serverId);
            found.fleet = false;
            found.admission.restart(clock);
        }
        found.incarnation = incarnation;
        return wasSuspected ? [{ kind: DetectorActionKind.Changed }, ...reportOf(serverId, found, 0)] : [];
    };

    const left = (serverId: string): DetectorAction[] => {
        const wasSuspected = isSuspected(serverId);
        const found = recall(serverId);
        found.present = false;
        found.leftAt = clock;
        pool.remove(serverId);
        forgetOld();
        return wasSuspected ? [{ kind: DetectorActionKind.Changed }] : [];
    };

    // Hosts that find a member well say so only when another host suspects it.
    const contradict = (serverId: string, evidence: number): DetectorAction[] => {
        const well = !isSuspected(serverId) && pool.answeredSince(serverId, clock - freshAnswerMs);
        return evidence >= 1 && well ? [{ kind: DetectorActionKind.Report, serverId, evidence: 0 }] : [];
    };

    const probed = (event: Extract<DetectorEvent, { kind: DetectorEventKind.ProbeFinished; }>): DetectorAction[] => {
        const found = recall(event.serverId);
        const serviceMs = event.durationMs - pool.roundTripMs(event.serverId);
        const quick = serviceMs <= usualProbeMs * slowProbeFactor;
        if (!found.admission.probed(event.outcome === AttemptClass.Success && quick, clock)) {
            return [];
        }
        pool.reset(event.serverId);
        return [{ kind: DetectorActionKind.Changed }, ...reportOf(event.serverId, found, 0)];
    };

    const probesDue = (): DetectorAction[] =>
        [...known].filter(([, found]) => found.present && found.admission.probeDue(clock))
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
        [DetectorEventKind.Joined]: joined,
        [DetectorEventKind.Left]: event => left(event.serverId),
        [DetectorEventKind.ProbeFinished]: probed,
        [DetectorEventKind.RemoteEvidence]: event => {
            remote.add(event, clock);
            const present = known.get(event.serverId)?.present === true;
            return present ? [...assess(event.serverId), ...contradict(event.serverId, event.evidence)] : [];
        },
        [DetectorEventKind.Tick]: () => [...scan(), ...probesDue()],
    };

    const step = (event: DetectorEvent, now: number): DetectorAction[] => {
        clock = Math.max(clock, now);
        // One handler a kind; the table's type ties each to its own event.
        const handler = handlers[event.kind] as (event: DetectorEvent) => DetectorAction[];
        return handler(event);
    };

    const suspicions = (): Suspicion[] =>
        [...known].filter(([serverId, found]) => found.present && isSuspected(serverId))
            .map(([serverId, found]) => ({
                serverId,
                evidence: Math.max(1, found.admission.evidence()),
                confirmedByFleet: found.fleet,
            }));

    const weight = (serverId: string): number => {
        const doubted = remote.opinions(serverId, clock).ill > 0 && !pool.isKnownWell(serverId, clock);
        const own = known.get(serverId)?.admission.weight(clock) ?? 1;
        const moved = doubted || pool.needsContrast(serverId, clock);
        return moved ? Math.min(own, doubtedWeight) : own;
    };

    return { step, suspicions, weight };
};
