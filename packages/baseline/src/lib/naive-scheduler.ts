/** Round robin with an unbounded queue. */
import { RefusalKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";

/** Options of {@link createNaiveScheduler}. */
export interface NaiveSchedulerCfg {
    /** Whether it counts slots and queues; when not, each attempt is granted at once. */
    countsSlots: boolean;
}

const retryAfterMs = 1000;

/** Grants in order of arrival, one member after the other, and never refuses while there are members. */
export const createNaiveScheduler = (cfg: NaiveSchedulerCfg): Scheduler => {
    let members: { serverId: string; slots: number; }[] = [];
    let turn = 0;
    const holders = new Map<string, string>();
    const queue: string[] = [];

    const inFlight = (serverId: string): number => [...holders.values()].filter(holder => holder === serverId).length;

    const nextMember = (): string | undefined => {
        for (let step = 0; step < members.length; step += 1) {
            turn = (turn + 1) % members.length;
            const member = members[turn]!;
            if (!cfg.countsSlots || inFlight(member.serverId) < member.slots) {
                return member.serverId;
            }
        }
        return undefined;
    };

    const drain = (): SchedulerAction[] => {
        const actions: SchedulerAction[] = [];
        while (queue.length > 0) {
            const serverId = nextMember();
            if (serverId === undefined) {
                break;
            }
            const attemptId = queue.shift()!;
            holders.set(attemptId, serverId);
            actions.push({ kind: SchedulerActionKind.Grant, attemptId, serverId });
        }
        return actions;
    };

    const submit = (attemptId: string): SchedulerAction[] => {
        if (members.length === 0) {
            return [{ kind: SchedulerActionKind.Refuse, attemptId, reason: RefusalKind.NoServers, retryAfterMs }];
        }
        queue.push(attemptId);
        return drain();
    };

    const step = (event: SchedulerEvent): SchedulerAction[] => {
        switch (event.kind) {
            case SchedulerEventKind.Submit:
                return submit(event.attemptId);
            case SchedulerEventKind.Release:
                holders.delete(event.attemptId);
                return drain();
            case SchedulerEventKind.Members:
                members = event.members;
                return drain();
            default:
                return [];
        }
    };

    return { step, inFlight, queued: () => queue.length, nextTickAt: () => undefined };
};
