/** Power of two choices on a host that sees only its own requests. */
import { RefusalKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Random, Scheduler, SchedulerAction, SchedulerEvent, SchedulerMember } from "@cassiapick/core";

const retryAfterMs = 250;

/** Grants each attempt at once to the less loaded of two members of the region, as far as this host can see. */
export const createTwoChoicesScheduler = (region: string, random: Random): Scheduler => {
    let members: readonly SchedulerMember[] = [];
    const holders = new Map<string, string>();
    const busy = new Map<string, number>();

    const inFlight = (serverId: string): number => busy.get(serverId) ?? 0;

    const pick = (exclude: readonly string[]): string | undefined => {
        const open = members.filter(member => !exclude.includes(member.serverId));
        const near = open.filter(member => member.region === region);
        const candidates = near.length > 0 ? near : open;
        if (candidates.length === 0) {
            return undefined;
        }
        const first = candidates[random.below(candidates.length)]!.serverId;
        const second = candidates[random.below(candidates.length)]!.serverId;
        return inFlight(second) < inFlight(first) ? second : first;
    };

    const submit = (attemptId: string, exclude: readonly string[]): SchedulerAction => {
        const serverId = pick(exclude);
        if (serverId === undefined) {
            return { kind: SchedulerActionKind.Refuse, attemptId, reason: RefusalKind.NoCapacity, retryAfterMs };
        }
        holders.set(attemptId, serverId);
        busy.set(serverId, inFlight(serverId) + 1);
        return { kind: SchedulerActionKind.Grant, attemptId, serverId };
    };

    const release = (attemptId: string): void => {
        const serverId = holders.get(attemptId);
        if (serverId !== undefined) {
            holders.delete(attemptId);
            busy.set(serverId, inFlight(serverId) - 1);
        }
    };

    const step = (event: SchedulerEvent): SchedulerAction[] => {
        if (event.kind === SchedulerEventKind.Submit) {
            return [submit(event.attemptId, event.exclude)];
        }
        if (event.kind === SchedulerEventKind.Release) {
            release(event.attemptId);
        }
        if (event.kind === SchedulerEventKind.Members) {
            members = event.members;
        }
        return [];
    };

    return { step, inFlight, queued: () => 0, nextTickAt: () => undefined };
};
