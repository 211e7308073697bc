/** A detector that suspects a member after consecutive errors. */
import { AttemptClass, DetectorActionKind, DetectorEventKind } from "@cassiapick/core";
import type { Detector, DetectorAction, DetectorEvent } from "@cassiapick/core";

const maxConsecutiveErrors = 5;
const ejectionMs = 10_000;

const isError = (outcome: AttemptClass): boolean =>
    outcome !== AttemptClass.Success && outcome !== AttemptClass.Shed && outcome !== AttemptClass.Cancelled;

/** Ejects a member for a fixed time after five consecutive errors; ignores latency and the other members. */
export const createNaiveDetector = (): Detector => {
    const serverIdByAttemptId = new Map<string, string>();
    const consecutiveErrors = new Map<string, number>();
    const ejectedUntil = new Map<string, number>();
    let lastStepAt = 0;

    const recordOutcome = (serverId: string, outcome: AttemptClass): DetectorAction[] => {
        const errorCount = isError(outcome) ? (consecutiveErrors.get(serverId) ?? 0) + 1 : 0;
        consecutiveErrors.set(serverId, errorCount);
        if (errorCount < maxConsecutiveErrors || (ejectedUntil.get(serverId) ?? 0) > lastStepAt) {
            return [];
        }
        ejectedUntil.set(serverId, lastStepAt + ejectionMs);
        consecutiveErrors.set(serverId, 0);
        return [{ kind: DetectorActionKind.Changed }];
    };

    const step = (event: DetectorEvent, now: number): DetectorAction[] => {
        lastStepAt = now;
        if (event.kind === DetectorEventKind.Started) {
            serverIdByAttemptId.set(event.attemptId, event.serverId);
        }
        if (event.kind === DetectorEventKind.Finished) {
            const serverId = serverIdByAttemptId.get(event.attemptId);
            serverIdByAttemptId.delete(event.attemptId);
            return serverId === undefined ? [] : recordOutcome(serverId, event.outcome);
        }
        return [];
    };

    const suspicions = (): { serverId: string; evidence: number; }[] =>
        [...ejectedUntil].filter(([, until]) => until > lastStepAt).map(([serverId]) => ({ serverId, evidence: 1 }));

    return { step, suspicions, weight: () => 1 };
};
