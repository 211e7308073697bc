/** A round-robin scheduler with an unbounded queue. */
import { RefusalKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";

/** Options of {@link createNaiveScheduler}. */
export interface NaiveSchedulerCfg {
    /** Whether attempts beyond a member's slots are queued; otherwise each attempt is granted at once. */
    enforcesSlots: boolean;
}

const retryAfterMs = 1000;

/** Grants attempts in order of arrival to the members in turn, and refuses only when there are no members. */
export const createNaiveScheduler = (cfg: NaiveSchedulerCfg): Scheduler => {
    let members: { serverId: string; slots: number; }[] = [];
    let memberIndex = 0;
    const serverIdByAttemptId = new Map<string, string>();
    const queuedAttemptIds: string[] = [];

    const inFlight = (serverId: string): number =>
        [...serverIdByAttemptId.values()].filter(grantedServerId => grantedServerId === serverId).length;

    const nextMember = (): string | undefined => {
        for (let checked = 0; checked < members.length; checked += 1) {
            memberIndex = (memberIndex + 1) % members.length;
            const member = members[memberIndex]!;
            if (!cfg.enforcesSlots || inFlight(member.serverId) < member.slots) {
                return member.serverId;
            }
        }
        return undefined;
    };

    const processQueue = (): SchedulerAction[] => {
        const actions: SchedulerAction[] = [];
        while (queuedAttemptIds.length > 0) {
            const serverId = nextMember();
            if (serverId === undefined) {
                break;
            }
            const attemptId = queuedAttemptIds.shift()!;
            serverIdByAttemptId.set(attemptId, serverId);
            actions.push({ kind: SchedulerActionKind.Grant, attemptId, serverId });
        }
        return actions;
    };

    const submit = (attemptId: string): SchedulerAction[] => {
        if (members.length === 0) {
            return [{ kind: SchedulerActionKind.Refuse, attemptId, reason: RefusalKind.NoServers, retryAfterMs }];
        }
        queuedAttemptIds.push(attemptId);
        return processQueue();
    };

    const step = (event: SchedulerEvent): SchedulerAction[] => {
        switch (event.kind) {
            case SchedulerEventKind.Submit:
                return submit(event.attemptId);
            case SchedulerEventKind.Release:
                serverIdByAttemptId.delete(event.attemptId);
                return processQueue();
            case SchedulerEventKind.Members:
                members = event.members;
                return processQueue();
            default:
                return [];
        }
    };

    return { step, inFlight, queued: () => queuedAttemptIds.length, nextTickAt: () => undefined };
};
