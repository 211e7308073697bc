/** Detection by consecutive errors. */
import { AttemptClass, DetectorActionKind, DetectorEventKind } from "@cassiapick/core";
import type { Detector, DetectorAction, DetectorEvent } from "@cassiapick/core";

const errorsInARow = 5;
const ejectionMs = 10_000;

const isError = (outcome: AttemptClass): boolean =>
    outcome !== AttemptClass.Success && outcome !== AttemptClass.Shed && outcome !== AttemptClass.Cancelled;

/** Ejects a member after five errors in a row, for a fixed time; it looks at no latency and at no other member. */
export const createNaiveDetector = (): Detector => {
    const attempts = new Map<string, string>();
    const errors = new Map<string, number>();
    const ejectedUntil = new Map<string, number>();
    let clock = 0;

    const finish = (serverId: string, outcome: AttemptClass): DetectorAction[] => {
        const count = isError(outcome) ? (errors.get(serverId) ?? 0) + 1 : 0;
        errors.set(serverId, count);
        if (count < errorsInARow || (ejectedUntil.get(serverId) ?? 0) > clock) {
            return [];
        }
        ejectedUntil.set(serverId, clock + ejectionMs);
        errors.set(serverId, 0);
        return [{ kind: DetectorActionKind.Changed }];
    };

    const step = (event: DetectorEvent, now: number): DetectorAction[] => {
        clock = now;
        if (event.kind === DetectorEventKind.Started) {
            attempts.set(event.attemptId, event.serverId);
        }
        if (event.kind === DetectorEventKind.Finished) {
            const serverId = attempts.get(event.attemptId);
            attempts.delete(event.attemptId);
            return serverId === undefined ? [] : finish(serverId, event.outcome);
        }
        return [];
    };

    const suspicions = (): { serverId: string; evidence: number; }[] =>
        [...ejectedUntil].filter(([, until]) => until > clock).map(([serverId]) => ({ serverId, evidence: 1 }));

    return { step, suspicions, weight: () => 1 };
};
