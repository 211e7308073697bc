/** Finds ill members of one pool from the requests that they serve. */
import type { Suspicion } from "./effective-view.js";
import { AttemptClass } from "./outcome.js";
import type { DetectionMode } from "./tables.js";

export enum DetectorEventKind {
    Started = "started",
    Finished = "finished",
    Joined = "joined",
    Left = "left",
    ProbeFinished = "probe-finished",
    Tick = "tick",
}

export type DetectorEvent =
    /** A request was sent to a member. */
    | { kind: DetectorEventKind.Started; attemptId: string; serverId: string; requestKind: string; }
    /** An attempt ended; its time is known from its start. */
    | { kind: DetectorEventKind.Finished; attemptId: string; outcome: AttemptClass; }
    | { kind: DetectorEventKind.Joined; serverId: string; incarnation: number; }
    | { kind: DetectorEventKind.Left; serverId: string; }
    | { kind: DetectorEventKind.ProbeFinished; serverId: string; outcome: AttemptClass; durationMs: number; }
    | { kind: DetectorEventKind.Tick; };

export enum DetectorActionKind {
    /** The set of suspicions changed; read it with `suspicions`. */
    Changed = "changed",
    /** Send one idempotent probe to an ejected member. */
    Probe = "probe",
}

export type DetectorAction =
    | { kind: DetectorActionKind.Changed; }
    | { kind: DetectorActionKind.Probe; serverId: string; };

/** Options of {@link createDetector}. */
export interface DetectorCfg {
    mode: DetectionMode;
}

/** The detector of one pool. Times are in milliseconds. */
export interface Detector {
    step(event: DetectorEvent, now: number): DetectorAction[];
    /** The members that seem ill now, in no particular order. */
    suspicions(): Suspicion[];
}

const suspicionThreshold = 5;

const isIll = (outcome: AttemptClass): boolean =>
    outcome !== AttemptClass.Success && outcome !== AttemptClass.Shed && outcome !== AttemptClass.Cancelled;

/** Creates the detector of one pool. */
export const createDetector = (_cfg: DetectorCfg): Detector => {
    const failures = new Map<string, number>();
    const started = new Map<string, string>();

    const finish = (serverId: string, outcome: AttemptClass): DetectorAction[] => {
        const count = isIll(outcome) ? (failures.get(serverId) ?? 0) + 1 : 0;
        failures.set(serverId, count);
        return count >= suspicionThreshold || count === 0 ? [{ kind: DetectorActionKind.Changed }] : [];
    };

    const step = (event: DetectorEvent, _now: number): DetectorAction[] => {
        if (event.kind === DetectorEventKind.Started) {
            started.set(event.attemptId, event.serverId);
        }
        if (event.kind === DetectorEventKind.Finished) {
            const serverId = started.get(event.attemptId);
            started.delete(event.attemptId);
            return serverId === undefined ? [] : finish(serverId, event.outcome);
        }
        if (event.kind === DetectorEventKind.Left) {
            failures.delete(event.serverId);
        }
        return [];
    };

    const suspicions = (): Suspicion[] =>
        [...failures]
            .filter(([, count]) => count >= suspicionThreshold)
            .map(([serverId, evidence]) => ({ serverId, evidence }));

    return { step, suspicions };
};
